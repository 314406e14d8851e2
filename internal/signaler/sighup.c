#include <signal.h>

// ignore_sighup makes the system discard SIGHUP until the Go runtime can handle it.
//
// The loader runs it before the Go runtime, which takes two milliseconds to set itself up; a
// SIGHUP in that time used to end the process. Discarding it loses nothing, since the
// settings are read later. The runtime does not change the disposition of a signal that
// is ignored at start until the program asks for the signal.
__attribute__((constructor)) static void ignore_sighup(void) {
	signal(SIGHUP, SIG_IGN);
}
