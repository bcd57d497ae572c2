package platform

import (
	"encoding/json"
	"net/http"
	"strconv"

	"mangoledge.example/mangoledge/internal/platform/objects"
)

const (
	kindPath   = "/apis/{group}/{version}/{kind}"
	objectPath = kindPath + "/{name}"
	// maxRequestBytes is the largest request body: a little more than the largest object.
	maxRequestBytes = objects.MaxObjectBytes + 4096
)

// objectRoutes registers the object API.
func (s *Server) objectRoutes() {
	s.mux.HandleFunc("GET "+kindPath, s.serveListOrWatch)
	s.mux.HandleFunc("POST "+kindPath, s.withFaults(ServiceObjects, "create", s.serveCreate))
	s.mux.HandleFunc("GET "+objectPath, s.withFaults(ServiceObjects, "get", s.serveGet))
	s.mux.HandleFunc("PUT "+objectPath, s.withFaults(ServiceObjects, "update", s.serveUpdate))
	s.mux.HandleFunc("DELETE "+objectPath, s.withFaults(ServiceObjects, "delete", s.serveDelete))
}

// serveListOrWatch answers a watch or a list, which have the same path.
func (s *Server) serveListOrWatch(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Get("watch") == "true" {
		s.withFaults(ServiceObjects, "watch", s.serveWatch)(w, r)
		return
	}
	s.withFaults(ServiceObjects, "list", s.serveList)(w, r)
}

// staleVersions returns how many versions this read lags behind, which is 0 without a FaultStaleRead.
func (s *Server) staleVersions(verb string) uint64 {
	fault, _ := s.faults.take(ServiceObjects, verb, FaultStaleRead)
	return fault.VersionsBehind
}

// serveList lists the objects of a kind.
func (s *Server) serveList(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, http.StatusOK, s.objects.asOf(objects.Kind(r.PathValue("kind")), s.staleVersions("list")))
}

// serveGet answers with one object.
func (s *Server) serveGet(w http.ResponseWriter, r *http.Request) {
	list := s.objects.asOf(objects.Kind(r.PathValue("kind")), s.staleVersions("get"))
	for _, object := range list.Items {
		if object.Metadata.Name == r.PathValue("name") {
			writeJSON(w, http.StatusOK, object)
			return
		}
	}
	writeStatus(w, http.StatusNotFound, "NotFound", "no such object")
}

// serveCreate creates an object unless it exists.
func (s *Server) serveCreate(w http.ResponseWriter, r *http.Request) {
	object, ok := readObject(w, r)
	if !ok {
		return
	}
	stored, created := s.objects.create(objectKey{objects.Kind(r.PathValue("kind")), object.Metadata.Name}, object)
	if !created {
		writeConflictStatus(w, stored)
		return
	}
	writeJSON(w, http.StatusCreated, stored)
}

// serveUpdate replaces an object if the request has its current version.
func (s *Server) serveUpdate(w http.ResponseWriter, r *http.Request) {
	object, ok := readObject(w, r)
	if !ok {
		return
	}
	stored, result := s.objects.update(objectKey{objects.Kind(r.PathValue("kind")), r.PathValue("name")}, object)
	writeResultResponse(w, stored, result)
}

// serveDelete deletes an object if the request has its current version, or version 0.
func (s *Server) serveDelete(w http.ResponseWriter, r *http.Request) {
	version, err := strconv.ParseUint(r.URL.Query().Get("resourceVersion"), 10, 64)
	if err != nil {
		writeStatus(w, http.StatusBadRequest, "BadRequest", "resourceVersion is no number")
		return
	}
	key := objectKey{objects.Kind(r.PathValue("kind")), r.PathValue("name")}
	stored, result := s.objects.remove(key, objects.Version(version))
	writeResultResponse(w, stored, result)
}

// writeResultResponse answers an update or a deletion.
func writeResultResponse(w http.ResponseWriter, stored objects.Object, result writeResult) {
	switch result {
	case writeDone:
		writeJSON(w, http.StatusOK, stored)
	case writeMissing:
		writeStatus(w, http.StatusNotFound, "NotFound", "no such object")
	case writeConflict:
		writeConflictStatus(w, stored)
	}
}

// writeConflictStatus answers with a conflict and the current object.
func writeConflictStatus(w http.ResponseWriter, current objects.Object) {
	writeJSON(w, http.StatusConflict, objects.Status{
		Code: http.StatusConflict, Reason: "Conflict", Message: "the object has another version", Current: &current,
	})
}

// readObject decodes the object in a request; if it is invalid, it answers with the error and reports false.
func readObject(w http.ResponseWriter, r *http.Request) (objects.Object, bool) {
	var object objects.Object
	err := json.NewDecoder(r.Body).Decode(&object)
	switch {
	case err != nil:
		writeStatus(w, http.StatusBadRequest, "BadRequest", err.Error())
		return object, false
	case object.Metadata.Name == "":
		writeStatus(w, http.StatusUnprocessableEntity, "Invalid", "metadata.name is empty")
		return object, false
	}
	return object, true
}
