package member

import (
	"github.com/juju/errors"

	"rosereach/core/encoding"
	"rosereach/core/health"
)

// Loads are load reports of backend servers. They may be encoded in advance, once for all
// entries that ask for them.
type Loads struct {
	Reports []health.LoadReport
	encoded []byte
}

// EncodeLoads returns the reports in their encoded form.
func EncodeLoads(reports []health.LoadReport) (*Loads, error) {
	data, err := encoding.Marshal(reports)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return &Loads{Reports: reports, encoded: data}, nil
}

// MarshalCBOR returns the reports as an array.
func (l *Loads) MarshalCBOR() ([]byte, error) {
	if l.encoded != nil {
		return l.encoded, nil
	}
	return encoding.Marshal(l.Reports)
}

// UnmarshalCBOR reads an array of reports.
func (l *Loads) UnmarshalCBOR(data []byte) error {
	return errors.Trace(encoding.Unmarshal(data, &l.Reports))
}
