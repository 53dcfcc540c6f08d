package endpoints

import "testing"

func FuzzRecord(f *testing.F) {
	r := testRecord("a", 3, StateDraining)
	f.Add(r.Encode())
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, b []byte) {
		r, err := Decode(b)
		if err != nil {
			return
		}
		if again, err := Decode(r.Encode()); err != nil || again != r {
			t.Errorf("record %+v is %+v after encoding and decoding, error %v", r, again, err)
		}
	})
}
