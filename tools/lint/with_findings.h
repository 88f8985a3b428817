/// \file A finding in a header, for the check of the linter itself.
#pragma once

inline int Misnamed_In_Header() { return 1; }
