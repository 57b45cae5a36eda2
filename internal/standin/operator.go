package standin

import (
	"io"
	"net/http"
	"strings"
	"time"
)

const (
	// operatorTimeout bounds one request of an operator.
	operatorTimeout = 2 * time.Second

	configPath     = "/laburnumfall/config"
	evacuationPath = "/laburnumfall/evacuation/"
)

// An Operator stands in for the platform's operator: it sends configurations to keepers and reads
// them back.
type Operator struct {
	// Keepers are the addresses at which keepers accept requests of operators.
	Keepers []string
}

// PutConfig sends a configuration to a keeper. It returns the status and body of the response, or
// 0 and the error text if there was none.
func (o *Operator) PutConfig(keeper int, config string) (int, string) {
	return o.call(http.MethodPut, keeper, configPath, config)
}

// GetConfig reads the configuration from a keeper. It returns the same as PutConfig.
func (o *Operator) GetConfig(keeper int) (int, string) {
	return o.call(http.MethodGet, keeper, configPath, "")
}

// Evacuate starts the evacuation of a zone at a keeper, or ends it if end is set. It returns the
// same as PutConfig.
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
	client := &http.Client{Timeout: operatorTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = resp.Body.Close() }() // the body has been read
	responseBody, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(responseBody)
}
