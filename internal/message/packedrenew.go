package message

import (
	"encoding/json"
	"fmt"

	"laburnumfall/internal/codec"
)

// renewSample is what most renewals consist of. It is part of the protocol: another one needs
// another method.
var renewSample = codec.Sample{Text: []byte(`"quarantine":{"held":,"ends":["clears":["returns":["asks":["evacuations":,"members":` +
	`"backlog":[{"target":"i-","born":17,"tokens":0,"running":1},{"target":"i-","born":17,"running":1}],"quarantine":{}` +
	`"demand":[{"account":"","rate":0,"served":0},{"account":"","rate":` +
	`{"router":"","zone":"","inc":17,"number":1,"term":1,"list":1,"columns":true,"seat":{"number":1,"of":1,"ready":true},"demand":[{"account":"`)}

// A PackedRenew is a Renew for keepers that have said that they take this form.
type PackedRenewRequest struct {
	PackedText []byte `json:"text"`
}

// Pack returns the packed form.
func (r RenewRequest) Pack() (PackedRenewRequest, error) {
	text, err := json.Marshal(r)
	if err != nil {
		return PackedRenewRequest{}, fmt.Errorf("pack a renewal: %w", err)
	}
	data, err := renewSample.Pack(text)
	return PackedRenewRequest{PackedText: data}, err
}

// Unpack returns what was packed.
func (p PackedRenewRequest) Unpack() (RenewRequest, error) {
	var r RenewRequest
	text, err := renewSample.Unpack(p.PackedText)
	if err != nil {
		return r, err
	}
	if err := json.Unmarshal(text, &r); err != nil {
		return r, fmt.Errorf("unpack a renewal (it was packed by another version): %w", err)
	}
	return r, nil
}
