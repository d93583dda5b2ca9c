package chart_test

import (
	"fmt"
	"strings"
	"testing"

	"rosereach/core/chart"
)

type (
	light   string
	trigger string
)

func Example() {
	c, err := chart.Load[light, trigger]([]byte(`{
	  "name": "light", "initial": "red",
	  "states": [
	    {"name": "red", "on": {"go": "green"}},
	    {"name": "green", "on": {"stop": "red", "stay": "green"}}
	  ]
	}`))
	fmt.Println(err, c.Initial())
	next, err := c.Next("red", "go")
	fmt.Println(next, err)
	_, err = c.Next("red", "stop")
	fmt.Println(err)
	fmt.Println(c.Accepts("green", "stay"))
	// Output:
	// <nil> red
	// green <nil>
	// light: trigger "stop" in state "red" not valid
	// true
}

// All errors of an invalid chart are reported together.
func TestBadChart(t *testing.T) {
	_, err := chart.Load[light, trigger]([]byte(`{"name":"x","initial":"blue","states":[{"name":"red","on":{"go":"green","stop":"black"}}]}`))
	for _, path := range []string{"initial", "red.on.go", "red.on.stop"} {
		if err == nil || !strings.Contains(err.Error(), path) {
			t.Errorf("%s is not in %v", path, err)
		}
	}
	for _, text := range []string{`{`, `{"name":"x","colour":1}`} {
		if _, err := chart.Load[light, trigger]([]byte(text)); err == nil {
			t.Errorf("%s was accepted", text)
		}
	}
}
