#ifndef FLAMINGO_TESTS_FIXED_SEED_H
#define FLAMINGO_TESTS_FIXED_SEED_H

// Fixed seeds for property tests. By default RapidCheck draws a new seed for each run, but CI must
// give the same verdict for the same sources. Tests that include this header use the parameters
// that they pass to startRapidCheck(), unless the environment variable RC_PARAMS is set. Include
// this header last, because CppUTest defines `new` as a macro.

#include <rapidcheck.h>
#include <rapidcheck/state.h>

#include <cstdlib>

#include <CppUTest/TestHarness.h>

#include <CppUTest/MemoryLeakWarningPlugin.h>

namespace flamingo {

// Sets RC_PARAMS to `params` unless it is set already, and turns off CppUTest's leak detector. To
// be called before the first test. Returns false when the environment cannot be changed. RapidCheck
// keeps allocations for its next check, which CppUTest would report as leaks of a test; `make
// sanitize` checks for leaks instead.
inline bool startRapidCheck(const char *params)
{
    MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
    return setenv("RC_PARAMS", params, 0) == 0;
}

} // namespace flamingo

#endif
