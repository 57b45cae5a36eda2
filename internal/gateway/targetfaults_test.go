package gateway_test

import (
	"io"
	"net/http"

	"laburnumfall/internal/standin"
)

// A targetFault is the faulty behavior of a target in one attempt.
type targetFault func(target *standin.PlatformTarget, w http.ResponseWriter, r *http.Request)

// targetFaults are the faults of targets that callers must not suffer from, by name.
var targetFaults = map[string]targetFault{
	"full": func(_ *standin.PlatformTarget, w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	},
	"moved": func(_ *standin.PlatformTarget, w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
	},
	"failed": func(target *standin.PlatformTarget, w http.ResponseWriter, r *http.Request) {
		target.RecordRun(r)
		target.WriteHeaders(w, r)
		w.WriteHeader(http.StatusInternalServerError)
	},
	"lost": func(target *standin.PlatformTarget, _ http.ResponseWriter, r *http.Request) {
		target.RecordRun(r)
		panic(http.ErrAbortHandler)
	},
	"lost unrun": func(*standin.PlatformTarget, http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
	"hangs": func(target *standin.PlatformTarget, _ http.ResponseWriter, r *http.Request) {
		target.RecordRun(r)
		<-r.Context().Done()
	},
	"foreign": func(target *standin.PlatformTarget, w http.ResponseWriter, r *http.Request) {
		target.RecordRun(r)
		target.WriteHeaders(w, r)
		w.Header().Set("X-Attempt-Id", "of-another")
		_, _ = io.WriteString(w, "not yours") // the caller must not receive it
	},
	"unsigned": func(target *standin.PlatformTarget, w http.ResponseWriter, r *http.Request) {
		target.RecordRun(r)
		w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
		_, _ = io.WriteString(w, "unsigned") // the caller must not receive it
	},
	"short": func(target *standin.PlatformTarget, w http.ResponseWriter, r *http.Request) {
		target.RecordRun(r)
		target.WriteHeaders(w, r)
		w.Header().Set("Content-Length", "100")
		_, _ = io.WriteString(w, "short") // the rest never arrives
	},
	"broken stream": func(target *standin.PlatformTarget, w http.ResponseWriter, r *http.Request) {
		target.RecordRun(r)
		target.WriteHeaders(w, r)
		target.WriteEvents(w, 1, 2)
		panic(http.ErrAbortHandler)
	},
}
