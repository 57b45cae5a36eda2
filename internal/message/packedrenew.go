package message

import (
	"encoding/json"
	"fmt"

	"laburnumfall/internal/codec"
)

// renewDictionary is the compression dictionary for renewals: the text that most of them have
// in common. It is part of the protocol, so that another dictionary needs another method.
var renewDictionary = codec.DictionaryCodec{Dictionary: []byte(`"quarantine":{"held":,"ends":["clears":["returns":["asks":["evacuations":,"members":` +
	`"backlog":[{"target":"i-","born":17,"tokens":0,"running":1},{"target":"i-","born":17,"running":1}],"quarantine":{}` +
	`"demand":[{"account":"","rate":0,"served":0},{"account":"","rate":` +
	`{"router":"","zone":"","inc":17,"number":1,"term":1,"list":1,"columns":true,"seat":{"number":1,"of":1,"ready":true},"demand":[{"account":"`)}

// A PackedRenewRequest is a compressed RenewRequest. It is sent only to keepers that have
// announced that they accept it.
type PackedRenewRequest struct {
	PackedText []byte `json:"text"`
}

// Pack returns the request in compressed form.
func (r RenewRequest) Pack() (PackedRenewRequest, error) {
	text, err := json.Marshal(r)
	if err != nil {
		return PackedRenewRequest{}, fmt.Errorf("encode a renewal as JSON: %w", err)
	}
	packedText, err := renewDictionary.Compress(text)
	return PackedRenewRequest{PackedText: packedText}, err
}

// Unpack returns the request that was packed. It fails if the text was packed with another
// dictionary or is not a valid request.
func (p PackedRenewRequest) Unpack() (RenewRequest, error) {
	var request RenewRequest
	text, err := renewDictionary.Decompress(p.PackedText)
	if err != nil {
		return request, err
	}
	if err := json.Unmarshal(text, &request); err != nil {
		return request, fmt.Errorf("decode a packed renewal (the router may run an incompatible version): %w", err)
	}
	return request, nil
}
