package routing

import "container/list"

// Drain is an endpoint that a list marked as draining or removed, and the index of that list.
type Drain struct {
	Host  string
	Index uint64
}

// drainLog keeps the last drain of each endpoint, oldest first, for at most maxEndpoints endpoints. Balancer.mu guards
// it.
type drainLog struct {
	byHost map[string]*list.Element
	order  list.List // of Drain
}

// add records a drain and replaces an earlier one of the same endpoint. Beyond the bound the oldest is dropped.
func (l *drainLog) add(host string, index uint64) {
	if l.byHost == nil {
		l.byHost = map[string]*list.Element{}
	}
	l.remove(host)
	l.byHost[host] = l.order.PushBack(Drain{host, index})
	if l.order.Len() > maxEndpoints {
		delete(l.byHost, l.order.Remove(l.order.Front()).(Drain).Host)
	}
}

// has reports whether there is a drain of an endpoint.
func (l *drainLog) has(host string) bool { return l.byHost[host] != nil }

// remove removes the drain of an endpoint, if there is one.
func (l *drainLog) remove(host string) {
	if drain := l.byHost[host]; drain != nil {
		l.order.Remove(drain)
		delete(l.byHost, host)
	}
}

// each calls f for each drain, oldest first.
func (l *drainLog) each(f func(Drain)) {
	for e := l.order.Front(); e != nil; e = e.Next() {
		f(e.Value.(Drain))
	}
}
