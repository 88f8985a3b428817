#include "cli/log_session.h"

#include <utility>

#include "cli/bundle_files.h"

namespace gorsetrail::cli {

LogSession::LogSession(CommandContext& context, BundleHistory history)
    : log_(context.http, context.options.log, timeLimitOf(context.options)),
      history_(std::move(history)),
      publisher_(log_, history_, context.pause) {}

Result<std::unique_ptr<LogSession>> LogSession::open(CommandContext& context) {
  const Result<Success> flags = requireFlags(context, {"log", "settings"});
  if (!succeeded(flags)) {
    return errorOf(flags);
  }
  const Result<SiteTrust> trust = loadSiteTrust(context.options.settings);
  if (!succeeded(trust)) {
    return errorOf(trust);
  }
  std::unique_ptr<LogSession> session(
      new LogSession(context, BundleHistory(valueOf(trust).site, valueOf(trust).operators)));
  const Result<Success> read = session->publisher_.refresh();
  if (!succeeded(read)) {
    return errorOf(read);
  }
  return session;
}

std::string bundleJsonOf(const bundle::AcceptedBundle& accepted) {
  const Result<bundle::SignedBundle> decoded = bundle::decodeEnvelope(accepted.envelope);
  return succeeded(decoded) ? valueOf(decoded).bundleJson : std::string();
}

}  // namespace gorsetrail::cli
