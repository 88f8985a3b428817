/// \file Valid documents from which tests derive damaged ones.
#pragma once

#include <string>

namespace gorsetrail::testing {

inline const std::string kRegistration =
    R"({"service":"m","address":"10.0.0.9:8080","zone":"z","version":"v1","slots":12,)"
    R"("state":"ready","coldRemainingMs":250,"stage":"both","models":[{"name":"m"}],)"
    R"("callSeq":4,"born":1767225600123})";

inline const std::string kConfiguration =
    R"({"version":7,"routes":[{"name":"r","host":"h","pathPrefix":"/x/","routeType":"safe",)"
    R"("timeoutMs":1200.5,"targetLatencyMs":200,"priority":3,"weightedServices":[)"
    R"({"service":"m","weight":90},{"service":"n","weight":10}],"maxAttempts":2,)"
    R"("persisted":false,"resumable":true,"authExempt":false,"allowedRegions":["west"]}],)"
    R"("services":[{"name":"m","healthPath":"/h","maxConnections":160,"coldStartS":3.5,)"
    R"("coldPerS":25.0,"engine":{"slots":12,"kvCapacity":61000,"streamStride":9}},{"name":"n"}],)"
    R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304},)"
    R"("tenants":[{"name":"t","apiKeys":["secret-key"],"priority":1,"ratePerS":381,"burst":40}]})";

inline const std::string kSettings = R"(
nodeName = "edge-1"
ip = "10.1.0.38"
zone = "hall-a"
region = "fi"
internalPorts = [7380,7395]
seeds = ["10.1.0.38:8144"]
[zones]
hall-a = "fi"
[listen]
frontend = "10.1.0.38:8149"
[limits]
memoryMb = 230
maxFds = 8200
[bounds]
graceS = 8
[platform]
address = "10.200.1.7:8142"
parts = 8
record_bytes = 262144
)";

}  // namespace gorsetrail::testing
