/// \file A finding in a source, for the check of the linter itself; not built.
#include "with_findings.h"

#include <string>

int Misnamed_In_Source() { return Misnamed_In_Header(); }
