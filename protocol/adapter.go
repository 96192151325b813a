package protocol

import "hollylever/transport"

// List calls begin and then row for each entry of a list, if all of it is good. ParseEndpointList replaces it.
func List(line []byte, begin func(index uint64, whole bool),
	row func(name, address, status string, started int64, kind, zone string, cell int, weight float64)) error {
	list, err := ParseEndpointList(line)
	if err != nil {
		return err
	}
	begin(list.Index, list.IsSnapshot)
	for _, e := range list.Endpoints {
		row(e.Name, e.Address, e.Status.String(), e.StartedAtNanos, e.Kind, e.Zone, e.Group, e.Weight)
	}
	return nil
}

// Answer returns the fields of a Response. ParseResponse replaces it.
func Answer(received []byte) (end transport.End, value, report []byte, note, length int) {
	r := ParseResponse(received)
	return r.End, r.Value, r.Report, int(r.CacheResult), r.Length
}

// Rest returns the fields of a Response. ParseResponseTail replaces it.
func Rest(received []byte) (end transport.End, report []byte, note, length int) {
	r := ParseResponseTail(received)
	return r.End, r.Report, int(r.CacheResult), r.Length
}

// Fields returns the fields of Attributes. ParseAttributes replaces it.
func Fields(list []byte) (workload, tenant []byte, patience, predicted int64, err error) {
	a, err := ParseAttributes(list)
	return a.Workload, a.Tenant, a.TimeoutNanos, a.PredictedNanos, err
}

// Retrieval tells whether a command is a request, whether it writes, and what is wrong with it. ParseRequest replaces it.
func Retrieval(arguments [][]byte) (is, write bool, wrong string) {
	verb, err := ParseRequest(arguments)
	if err != nil {
		wrong = err.Error()
	}
	return verb.IsRequest(), verb == VerbSet, wrong
}
