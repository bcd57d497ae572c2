package platform

import (
	"encoding/json"
	"net/http"
	"strconv"

	"mangoledge.example/mangoledge/internal/platform/objects"
)

const (
	kindPath = "/apis/{group}/{version}/{kind}"
	namePath = kindPath + "/{name}"
	// maxRequestBytes bounds a request; a little above the largest object.
	maxRequestBytes = objects.MaxObjectBytes + 4096
)

func (s *Server) objectRoutes() {
	s.mux.HandleFunc("GET "+kindPath, s.serveListOrWatch)
	s.mux.HandleFunc("POST "+kindPath, s.service(ServiceObjects, "create", s.serveCreate))
	s.mux.HandleFunc("GET "+namePath, s.service(ServiceObjects, "get", s.serveGet))
	s.mux.HandleFunc("PUT "+namePath, s.service(ServiceObjects, "update", s.serveUpdate))
	s.mux.HandleFunc("DELETE "+namePath, s.service(ServiceObjects, "delete", s.serveDelete))
}

func (s *Server) serveListOrWatch(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Get("watch") == "true" {
		s.service(ServiceObjects, "watch", s.serveWatch)(w, r)
		return
	}
	s.service(ServiceObjects, "list", s.serveList)(w, r)
}

// behind returns how many versions old this read is.
func (s *Server) behind(verb string) uint64 {
	fault, _ := s.faults.strike(ServiceObjects, verb, FaultStaleRead)
	return fault.Behind
}

func (s *Server) serveList(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, http.StatusOK, s.objects.asOf(objects.Kind(r.PathValue("kind")), s.behind("list")))
}

func (s *Server) serveGet(w http.ResponseWriter, r *http.Request) {
	list := s.objects.asOf(objects.Kind(r.PathValue("kind")), s.behind("get"))
	for _, object := range list.Items {
		if object.Metadata.Name == r.PathValue("name") {
			writeJSON(w, http.StatusOK, object)
			return
		}
	}
	writeStatus(w, http.StatusNotFound, "NotFound", "no such object")
}

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

func (s *Server) serveUpdate(w http.ResponseWriter, r *http.Request) {
	object, ok := readObject(w, r)
	if !ok {
		return
	}
	stored, result := s.objects.update(objectKey{objects.Kind(r.PathValue("kind")), r.PathValue("name")}, object)
	answerWrite(w, stored, result)
}

func (s *Server) serveDelete(w http.ResponseWriter, r *http.Request) {
	version, err := strconv.ParseUint(r.URL.Query().Get("resourceVersion"), 10, 64)
	if err != nil {
		writeStatus(w, http.StatusBadRequest, "BadRequest", "resourceVersion is no number")
		return
	}
	key := objectKey{objects.Kind(r.PathValue("kind")), r.PathValue("name")}
	stored, result := s.objects.remove(key, objects.Version(version))
	answerWrite(w, stored, result)
}

func answerWrite(w http.ResponseWriter, stored objects.Object, result writeResult) {
	switch result {
	case writeDone:
		writeJSON(w, http.StatusOK, stored)
	case writeMissing:
		writeStatus(w, http.StatusNotFound, "NotFound", "no such object")
	case writeConflict:
		writeConflictStatus(w, stored)
	}
}

func writeConflictStatus(w http.ResponseWriter, current objects.Object) {
	writeJSON(w, http.StatusConflict, objects.Status{
		Code: http.StatusConflict, Reason: "Conflict", Message: "the object has another version", Current: &current,
	})
}

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
