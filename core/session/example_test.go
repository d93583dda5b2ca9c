package session_test

import (
	"fmt"

	"github.com/juju/errors"

	"rosereach/core/catalog"
	"rosereach/core/session"
	"rosereach/core/version"
)

func Example() {
	sealer := session.NewSealer([]catalog.SealKey{{ID: "k1", Secret: []byte("0123456789abcdef0123456789abcdef")}})
	text, err := sealer.Seal(session.Token{ID: "s-1", Workspace: "vitrina", Version: version.Ref{Model: "small", Version: "v1"}})
	if err != nil {
		fmt.Println(err)
		return
	}
	token, err := sealer.Open(text, "vitrina")
	fmt.Println(token.Version, err)
	_, err = sealer.Open(text, "terminalna")
	fmt.Println(errors.Is(err, session.ErrWrongWorkspace))
	_, err = sealer.Open(text+"x", "vitrina")
	fmt.Println(errors.Is(err, session.ErrBadToken))
	// Output:
	// small@v1 <nil>
	// true
	// true
}
