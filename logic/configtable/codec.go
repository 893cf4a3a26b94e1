package configtable

// Encode returns the binary form of a valid change, at most MaxEncodedBytes long, or the *ChangeError of Validate.
func (c Change) Encode() ([]byte, error) { panic("not built yet") }

// DecodeError reports bytes that are not the encoding of a valid change.
type DecodeError struct {
	Reason string
}

func (e *DecodeError) Error() string { return "not an encoded change: " + e.Reason }

// Decode reads one change that fills data. It accepts exactly what Encode returns; anything else gives a *DecodeError,
// or a *ChangeError where the fields are readable and not valid.
func Decode(data []byte) (Change, error) { panic("not built yet") }

// AppendEntry appends the entry that a valid Put describes, without its service, for a snapshot of one service.
func (c Change) AppendEntry(to []byte) []byte { panic("not built yet") }

// DecodeEntry reads what AppendEntry wrote, as a Put of service; data holds that one entry and nothing more.
func DecodeEntry(service string, data []byte) (Change, error) { panic("not built yet") }
