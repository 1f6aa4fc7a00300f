package wire

import (
	"bytes"
	"go/ast"
	"go/parser"
	"go/token"
	"reflect"
	"strings"
	"testing"

	"github.com/pkg/errors"
	"pgregory.net/rapid"
)

// messages holds a zero message of each kind.
var messages = []Message{
	Claim{}, ClaimAck{}, LeaseRequest{}, LeaseReply{}, LeaseUpdate{}, Borrow{}, BorrowReply{}, Redeem{},
	RedeemReply{}, Settle{}, FeedPull{}, FeedPush{}, LoadGossip{}, RedemptionHandover{}, Transfer{},
	SettleAck{}, LeaseHandover{}, Status{}, StreamOrigins{}, OriginQuery{}, OriginReply{}, CrashEvidence{},
}

// fillRandom sets each exported field in v, recursively, to a drawn value.
func fillRandom(t *rapid.T, v reflect.Value) {
	switch v.Kind() {
	case reflect.Struct:
		if s, ok := v.Addr().Interface().(*Status); ok && rapid.Bool().Draw(t, "backlog") {
			*s = Status{Timestamp: rapid.Uint64().Draw(t, "timestamp"), Backlog: drawBacklog(t)}
			return
		}
		for i := range v.NumField() {
			if v.Field(i).CanSet() && v.Type().Field(i).Tag.Get("cbor") != "-" {
				fillRandom(t, v.Field(i))
			}
		}
	case reflect.Slice:
		n := rapid.IntRange(0, 3).Draw(t, "length")
		if n == 0 {
			return // nil and empty slices have the same encoding
		}
		v.Set(reflect.MakeSlice(v.Type(), n, n))
		for i := range n {
			fillRandom(t, v.Index(i))
		}
	case reflect.Map:
		v.Set(reflect.MakeMap(v.Type()))
		for range rapid.IntRange(1, 3).Draw(t, "length") {
			key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
			fillRandom(t, key)
			fillRandom(t, value)
			v.SetMapIndex(key, value)
		}
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fillRandom(t, v.Elem())
	case reflect.String:
		v.SetString(rapid.StringMatching(`[a-zé]{0,8}`).Draw(t, "string"))
	case reflect.Bool:
		v.SetBool(rapid.Bool().Draw(t, "bool"))
	default:
		v.SetUint(rapid.Uint64().Draw(t, "number") >> (64 - v.Type().Bits()))
	}
}

func TestEachKindRoundTrips(t *testing.T) {
	names := map[string]bool{}
	for _, m := range messages {
		names[m.Kind().String()] = true
	}
	if declared := declaredKinds(t); len(messages) != declared || len(names) != declared {
		t.Errorf("%d kinds are declared, %d are tested, %d have distinct names", declared, len(messages), len(names))
	}
	rapid.Check(t, func(t *rapid.T) {
		m := reflect.New(reflect.TypeOf(rapid.SampledFrom(messages).Draw(t, "message"))).Elem()
		fillRandom(t, m)
		want := Frame{Message: m.Interface().(Message)}
		fillRandom(t, reflect.ValueOf(&want.Header).Elem())
		b, err := Encode(want)
		if err != nil {
			t.Fatal(err)
		}
		got, err := Decode(b)
		if err != nil || !reflect.DeepEqual(got, want) {
			t.Fatalf("%+v was decoded as %+v, error %v", want, got, err)
		}
		if cut := rapid.IntRange(0, len(b)-1).Draw(t, "cut"); !malformed(b[:cut]) || !malformed(append(b, 0)) {
			t.Fatalf("%x was accepted when truncated to %d bytes or with an extra byte", b, cut)
		}
	})
}

// declaredKinds counts the constants in messages.go whose names begin with Kind.
func declaredKinds(t *testing.T) int {
	file, err := parser.ParseFile(token.NewFileSet(), "messages.go", nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	n := 0
	ast.Inspect(file, func(node ast.Node) bool {
		spec, ok := node.(*ast.ValueSpec)
		if ok && strings.HasPrefix(spec.Names[0].Name, "Kind") {
			n++
		}
		return true
	})
	return n
}

func malformed(b []byte) bool {
	_, err := Decode(b)
	return errors.Is(err, ErrMalformed)
}

func TestDecodeRefusesWhatIsTooLarge(t *testing.T) {
	b, err := Encode(Frame{Message: Redeem{Key: string(make([]byte, MaxFrameBytes))}})
	if err != nil {
		t.Fatal(err)
	}
	if !malformed(b) {
		t.Error("a frame above MaxFrameBytes was accepted")
	}
}

func FuzzDecode(f *testing.F) {
	for _, m := range messages {
		b, err := Encode(Frame{Message: m})
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		frame, err := Decode(b)
		if err != nil {
			return
		}
		again, err := Encode(frame)
		if err != nil {
			t.Fatalf("%x was decoded as %+v, which cannot be encoded: %v", b, frame, err)
		}
		second, err := Decode(again)
		if err != nil {
			t.Fatalf("%x was encoded again as %x, which cannot be decoded: %v", b, again, err)
		}
		third, err := Encode(second)
		if err != nil || !bytes.Equal(again, third) {
			t.Fatalf("encoding of %x is not stable: %x, %x", b, again, third)
		}
	})
}
