package gateway

import "laburnumfall/internal/upstream"

// recordSignal records what a response says about further requests to its target.
func (g *Gateway) recordSignal(req *request, response *upstream.Response) {
	if g.Dialect.AddressReused(response.Status) {
		return // it is the response of another target
	}
	req.signal = g.Dialect.Backpressure(response.Status, response.Header)
	g.Metrics.countSignal(req.signal)
}
