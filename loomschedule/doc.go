// Package loomschedule decides in which order waiting requests start while capacity is
// insufficient: those first whose delay would cost their callers the most for each unit of the
// work that they need.
//
// The order is an apparent tardiness cost rule (Vepsalainen and Morton, "Priority rules for job
// shops with weighted tardiness costs", Management Science 33(8), 1987). Its cost is not the
// tardiness but what a caller loses in two steps: at the latest start that meets the objective and
// at the latest start before the caller leaves. Without slack it is the c-mu rule (Cox and Smith,
// "Queues", 1961). The current time is an argument; nothing here does I/O.
package loomschedule
