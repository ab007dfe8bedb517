package fake

import (
	"encoding/json"
	"net/http"
)

// maxBody is the maximum size of a request body in bytes.
const maxBody = 1 << 20

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// readJSON decodes the body into v. On failure it responds with status 400 and returns false.
func readJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(v); err != nil {
		http.Error(w, "fake: decode body: "+err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}
