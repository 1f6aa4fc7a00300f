package respcheck

import "net/http"

// Transport is an http.RoundTripper whose responses have valid heads. For any other, RoundTrip returns the *HeadError.
type Transport struct{ Base *http.Transport }

// RoundTrip implements http.RoundTripper.
func (t Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := t.Base.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if err := finalHead(resp); err != nil {
		_ = resp.Body.Close()
		t.CloseIdleConnections() // what follows such a response is not the response to another request
		return nil, err
	}
	return resp, nil
}

// CloseIdleConnections closes the connections that no request uses.
func (t Transport) CloseIdleConnections() { t.Base.CloseIdleConnections() }

// finalHead is Head for a response that is not an interim one.
func finalHead(resp *http.Response) error {
	if resp.StatusCode == http.StatusSwitchingProtocols {
		return &HeadError{"switched protocols"}
	}
	return Head(resp)
}
