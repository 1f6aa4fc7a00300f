package redeem

import (
	"testing"

	"github.com/pkg/errors"
)

func FuzzParseTicket(f *testing.F) {
	s := newTestServer("n", nil)
	texts, _ := s.Issue(t0, testWorkspace, 2)
	f.Add(texts[0])
	f.Add(texts[1][:len(texts[1])-2])
	f.Add("")
	f.Add("hWFuAQE")
	f.Fuzz(func(t *testing.T, text string) {
		id, err := ParseTicket(text)
		if err != nil {
			if !errors.Is(err, ErrMalformedTicket) {
				t.Fatalf("error %v does not wrap ErrTicket", err)
			}
			return
		}
		again, err := ParseTicket(FormatTicket(id))
		if err != nil || again != id {
			t.Fatalf("%+v was parsed as %+v, error %v", id, again, err)
		}
	})
}
