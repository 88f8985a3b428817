#include "node/metrics.h"

#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include "metrics/family_list.h"
#include "wire/send_queue.h"

namespace gorsetrail::node {
namespace {

using metrics::FamilyList;
using prometheus::MetricType;

const prometheus::Histogram::BucketBoundaries kCallBuckets = {0.01, 0.03, 0.1, 0.3, 1,   3,
                                                              10,   30,   100, 300, 1000};
const prometheus::Histogram::BucketBoundaries kDispatchBuckets = {
    0.0001, 0.0003, 0.001, 0.003, 0.01, 0.03, 0.1, 0.3, 1, 3, 10};

void addNode(FamilyList& list, const NodeCounters& node) {
  list.counter("calls_arrived_total", "Calls that were well formed", node.callsArrived);
  list.counter("calls_completed_total", "Calls answered whole", node.callsCompleted);
  list.counter("calls_replayed_total", "Calls answered from the journal", node.callsReplayed);
  list.counter("calls_refused_total", "Calls refused", node.callsRefused);
  list.counter("calls_unknown_total", "Calls whose outcome is unknown", node.callsUnknown);
  list.counter("dispatches_total", "Attempts handed to back ends", node.dispatches);
  list.counter("retries_total", "Attempts after the first of a call", node.retries);
  list.counter("late_events_dropped_total", "Events of attempts given up before",
               node.lateEventsDropped);
  list.counter("bundles_refused_total", "Bundles that were not accepted", node.bundlesRefused);
  list.counter("prompt_tokens_total", "Prompt tokens of answered calls", node.promptTokens);
  list.counter("cached_tokens_total", "Prompt tokens found in an engine's cache",
               node.cachedTokens);
  list.counter("completion_tokens_total", "Tokens answered", node.completionTokens);
  list.counter("log_entries_appended_total", "Journal entries taken by the log",
               node.logEntriesAppended);
  list.counter("log_entries_dropped_total", "Journal entries that the log was down for too long",
               node.logEntriesDropped);
  list.counter("load_digests_sent_total", "Load digests sent to other nodes", node.digestsSent);
  list.gauge("calls_under_way", "Calls not yet answered", node.callsUnderWay);
  list.gauge("log_queued_bytes", "Journal entries that wait for the log", node.logQueuedBytes);
  list.gauge("bundle_version", "Version of the bundle in force, 0 for none", node.bundleVersion);
}

void addTraffic(FamilyList& list, const std::string& direction,
                const std::array<TrafficCounter, wire::kSubsystemCount>& traffic) {
  list.family("peer_frames_" + direction + "_total", "Frames between nodes", MetricType::Counter);
  for (std::size_t index = 0; index < traffic.size(); ++index) {
    list.add(traffic[index].frames,
             {{"subsystem", wire::subsystemName(static_cast<wire::Subsystem>(index))}});
  }
  list.family("peer_bytes_" + direction + "_total", "Bytes between nodes", MetricType::Counter);
  for (std::size_t index = 0; index < traffic.size(); ++index) {
    list.add(traffic[index].bytes,
             {{"subsystem", wire::subsystemName(static_cast<wire::Subsystem>(index))}});
  }
}

void addPeers(FamilyList& list, const PeerTransportCounters& peers) {
  addTraffic(list, "sent", peers.sent);
  addTraffic(list, "received", peers.received);
  list.family("peer_frames_dropped_total", "Frames dropped since the queue was full",
              MetricType::Counter);
  for (std::size_t index = 0; index < peers.dropped.size(); ++index) {
    list.add(peers.dropped[index],
             {{"subsystem", wire::subsystemName(static_cast<wire::Subsystem>(index))}});
  }
  list.counter("peer_frames_lost_total", "Frames under way when their link broke",
               peers.framesLost);
  list.counter("peer_frames_expired_total", "Frames too old when the link was up again",
               peers.framesExpired);
  list.counter("peer_frames_too_long_total", "Messages over the longest frame, not sent",
               peers.framesTooLong);
  list.counter("peer_frames_unaddressed_total", "Messages to a node that is no member",
               peers.framesUnaddressed);
  list.counter("peer_frames_invalid_total", "Frames that could not be verified",
               peers.framesInvalid);
  list.counter("peer_senders_unknown_total", "Links closed since the sender is no member",
               peers.sendersUnknown);
  list.counter("peer_connects_failed_total", "Failed connections to nodes", peers.connectsFailed);
  list.counter("peer_links_opened_total", "Links opened by this node", peers.linksOpened);
  list.counter("peer_links_accepted_total", "Links accepted from members", peers.linksAccepted);
  list.counter("peer_links_timed_out_total", "Accepted links that fell silent",
               peers.linksTimedOut);
  list.counter("peer_links_refused_total", "Links over the limit", peers.linksRefused);
  list.gauge("peer_links_incoming", "Links opened by other nodes", peers.linksIncoming);
  list.gauge("peer_links_outgoing", "Links to other nodes", peers.linksOutgoing);
}

void addDispatches(FamilyList& list, const DispatchCounters& dispatches) {
  list.family("dispatch_ends_total", "Dispatches by how they ended", MetricType::Counter);
  list.add(dispatches.finished, {{"end", "finished"}});
  list.add(dispatches.refused, {{"end", "refused"}});
  list.add(dispatches.notSent, {{"end", "not_sent"}});
  list.add(dispatches.broken, {{"end", "broken"}});
  list.add(dispatches.cancelled, {{"end", "cancelled"}});
  list.counter("dispatches_resumed_total", "Streams resumed by offset", dispatches.resumed);
  list.counter("dispatch_answers_malformed_total", "Broken dispatches with an unreadable answer",
               dispatches.malformed);
  list.counter("stream_chunks_total", "Parts of streamed answers from engines", dispatches.chunks);
}

void addCallers(FamilyList& list, const http::HttpServerCounters& callers) {
  list.counter("http_connections_accepted_total", "Callers' connections",
               callers.connectionsAccepted);
  list.counter("http_connections_refused_total", "Connections over the limit",
               callers.connectionsRefused);
  list.counter("http_requests_total", "Requests read whole", callers.requests);
  list.counter("http_faults_total", "Requests that were not HTTP or over a limit", callers.faults);
  list.counter("http_requests_cut_total", "Callers that closed amid a request",
               callers.requestsCut);
  list.counter("http_responses_total", "Responses written whole", callers.responses);
  list.counter("http_callers_gone_total", "Callers that closed before the response's end",
               callers.callersGone);
  list.counter("http_bytes_written_total", "Bytes written to callers", callers.bytesWritten);
  list.gauge("http_connections_open", "Callers' connections open", callers.connectionsOpen);
  list.gauge("http_responses_open", "Requests read and not yet answered", callers.responsesOpen);
}

}  // namespace

struct NodeMetrics::Histograms {
  prometheus::Registry registry;
  prometheus::Histogram& call = prometheus::BuildHistogram()
                                    .Name("gorsetrail_call_seconds")
                                    .Help("From a call's arrival to the end of its answer")
                                    .Register(registry)
                                    .Add({}, kCallBuckets);
  prometheus::Histogram& dispatch = prometheus::BuildHistogram()
                                        .Name("gorsetrail_dispatch_delay_seconds")
                                        .Help("From a call's arrival to its first dispatch")
                                        .Register(registry)
                                        .Add({}, kDispatchBuckets);
};

NodeMetrics::NodeMetrics() : histograms_(std::make_unique<Histograms>()) {}
NodeMetrics::~NodeMetrics() = default;

void NodeMetrics::observeCallSeconds(double span) { histograms_->call.Observe(span); }

void NodeMetrics::observeDispatchSeconds(double span) { histograms_->dispatch.Observe(span); }

std::string NodeMetrics::render(const MetricsSnapshot& snapshot) const {
  FamilyList list;
  addNode(list, snapshot.node);
  addPeers(list, snapshot.peers);
  addDispatches(list, snapshot.dispatches);
  addCallers(list, snapshot.callers);
  list.append(histograms_->registry.Collect());
  return list.render();
}

}  // namespace gorsetrail::node
