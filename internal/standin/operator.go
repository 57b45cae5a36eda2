package standin

import (
	"io"
	"net/http"
	"strings"
	"time"
)

const (
	// operatorTime bounds one call of an operator.
	operatorTime = 2 * time.Second

	configPath     = "/laburnumfall/config"
	evacuationPath = "/laburnumfall/evacuation/"
)

// An Operator stands in for the platform's: it sends configurations to keepers and
// reads them back.
type Operator struct {
	// Keepers are the addresses at which keepers take operators' calls.
	Keepers []string
}

// Put sends a configuration to one keeper. It returns the status of the answer, 0 if
// there was none, and its text or the error.
func (o *Operator) PutConfig(keeper int, config string) (int, string) {
	return o.call(http.MethodPut, keeper, configPath, config)
}

// Get reads the configuration back from one keeper.
func (o *Operator) GetConfig(keeper int) (int, string) {
	return o.call(http.MethodGet, keeper, configPath, "")
}

// Evacuate sends a zone's evacuation, or its end, to one keeper.
func (o *Operator) Evacuate(keeper int, zone string, end bool) (int, string) {
	method := http.MethodPost
	if end {
		method = http.MethodDelete
	}
	return o.call(method, keeper, evacuationPath+zone, "")
}

func (o *Operator) call(method string, keeper int, path, body string) (int, string) {
	req, err := http.NewRequest(method, "http://"+o.Keepers[keeper]+path, strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	client := &http.Client{Timeout: operatorTime, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = resp.Body.Close() }() // it is read
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(text)
}
