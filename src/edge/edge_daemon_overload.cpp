// The part of `EdgeDaemon` that measures load for overload control and reports it to other nodes.
#include "edge/edge_daemon.h"

namespace gorsetrail::edge {

routing::LoadReports EdgeDaemon::localReports() { return {}; }

}  // namespace gorsetrail::edge
