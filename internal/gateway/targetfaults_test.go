package gateway_test

import (
	"io"
	"net/http"

	"laburnumfall/internal/standin"
)

// A misdeed is what a target does with one attempt.
type misdeed func(s *standin.SiteTarget, w http.ResponseWriter, r *http.Request)

// misdeeds are the faults of targets that callers must not suffer from, by name.
var misdeeds = map[string]misdeed{
	"full": func(_ *standin.SiteTarget, w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	},
	"moved": func(_ *standin.SiteTarget, w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
	},
	"failed": func(s *standin.SiteTarget, w http.ResponseWriter, r *http.Request) {
		s.Ran(r)
		s.Head(w, r)
		w.WriteHeader(http.StatusInternalServerError)
	},
	"lost": func(s *standin.SiteTarget, _ http.ResponseWriter, r *http.Request) {
		s.Ran(r)
		panic(http.ErrAbortHandler)
	},
	"lost unrun": func(*standin.SiteTarget, http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
	"hangs": func(s *standin.SiteTarget, _ http.ResponseWriter, r *http.Request) {
		s.Ran(r)
		<-r.Context().Done()
	},
	"foreign": func(s *standin.SiteTarget, w http.ResponseWriter, r *http.Request) {
		s.Ran(r)
		s.Head(w, r)
		w.Header().Set("X-Attempt-Id", "of-another")
		_, _ = io.WriteString(w, "not yours") // the caller must not get it
	},
	"unsigned": func(s *standin.SiteTarget, w http.ResponseWriter, r *http.Request) {
		s.Ran(r)
		w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
		_, _ = io.WriteString(w, "unsigned") // the caller must not get it
	},
	"short": func(s *standin.SiteTarget, w http.ResponseWriter, r *http.Request) {
		s.Ran(r)
		s.Head(w, r)
		w.Header().Set("Content-Length", "100")
		_, _ = io.WriteString(w, "short") // the rest never comes
	},
	"broken stream": func(s *standin.SiteTarget, w http.ResponseWriter, r *http.Request) {
		s.Ran(r)
		s.Head(w, r)
		s.Stream(w, 1, 2)
		panic(http.ErrAbortHandler)
	},
}
