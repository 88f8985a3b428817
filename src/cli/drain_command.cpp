/// `drain`: publishes a version with one back end leaving; retried on a version conflict.
#include "cli/bundle_files.h"
#include "cli/command.h"
#include "cli/files.h"
#include "cli/log_session.h"
#include "cli/report.h"
#include "cli/signing.h"

namespace gorsetrail::cli {
namespace {

/// Each conflict means that another version was accepted, so a few attempts suffice.
constexpr int kMaximumAttempts = 8;

Error unknownBackend(const std::string& name, BundleVersion version) {
  return Error{ErrorKind::InvalidField, name,
               "version " + std::to_string(version.value()) + " has no such back end",
               "look it up with `gorsetrail bundle new` or in the bundle's /back_ends"};
}

/// \return the signed next version, or `InvalidBundle` when work would be left without a back end.
Result<bundle::SignedBundle> makeDrainBundle(const bundle::AcceptedBundle& newest,
                                             const CommandContext& context,
                                             const std::string& pem) {
  OrderedJson next = makeNextVersion(bundleJsonOf(newest));
  for (OrderedJson& backend : next["back_ends"]) {
    if (backend["name"] == context.arguments.front()) {
      backend["leaving"] = true;
    }
  }
  bundle::SignedBundle signedBundle{jsonText(next) + "\n", {}};
  const std::vector<Error> errors = checkBundleText("drain", signedBundle.bundleJson);
  if (!errors.empty()) {
    return errors.front();
  }
  const Result<Success> added = addSignature(signedBundle, context.options.name, pem);
  if (!succeeded(added)) {
    return errorOf(added);
  }
  return signedBundle;
}

ExitCode reportDrained(CommandContext& context, const std::string& result, BundleVersion version) {
  printObject(
      context.out, context.options.format,
      {{"result", result}, {"back_end", context.arguments.front()}, {"version", version.value()}});
  return ExitCode::Done;
}

/// Writes the envelope to a file, because more operators must sign it before publication.
ExitCode saveForFurtherSignatures(CommandContext& context, const bundle::SignedBundle& signedBundle,
                                  std::uint32_t needed) {
  const std::string path = context.options.out.empty()
                               ? "drain-" + context.arguments.front() + ".envelope"
                               : context.options.out;
  const Existing existing = context.options.force ? Existing::Replace : Existing::Keep;
  const Result<Success> written =
      writeFile(path, bundle::encodeEnvelope(signedBundle), FileAccess::Everybody, existing);
  if (!succeeded(written)) {
    return fail(context, errorOf(written));
  }
  return fail(context,
              Error{ErrorKind::InvalidSignature, path,
                    "not published: it has 1 signature, " + std::to_string(needed) + " are needed",
                    "have others run `gorsetrail bundle sign " + path +
                        "`, then `gorsetrail bundle publish " + path + "`"});
}

ExitCode drain(CommandContext& context, LogSession& session, const std::string& pem) {
  const std::string& name = context.arguments.front();
  for (int attempt = 0; attempt < kMaximumAttempts; ++attempt) {
    const auto newest = session.history().newest();
    if (newest == nullptr) {
      return fail(context, Error{ErrorKind::BundleNotInForce, "--log",
                                 "the log has no valid bundle of this site", "publish one first"});
    }
    const bundle::Backend* backend = newest->bundle.findBackend(name);
    if (backend == nullptr) {
      return fail(context, unknownBackend(name, newest->bundle.version));
    }
    if (backend->leaving) {
      return reportDrained(context, attempt == 0 ? "leaving already" : "another operator did it",
                           newest->bundle.version);
    }
    const Result<bundle::SignedBundle> next = makeDrainBundle(*newest, context, pem);
    if (!succeeded(next)) {
      return fail(context, errorOf(next));
    }
    if (newest->bundle.signaturesNeeded > 1) {
      return saveForFurtherSignatures(context, valueOf(next), newest->bundle.signaturesNeeded);
    }
    const Result<Publication> result =
        session.publisher().publish(bundle::encodeEnvelope(valueOf(next)));
    if (succeeded(result)) {
      return reportDrained(context, "published", valueOf(result).version);
    }
    // A conflict is retried, because the drain applies to any newer version as well.
    if (errorOf(result).kind != ErrorKind::BundleConflict) {
      return fail(context, errorOf(result));
    }
  }
  return fail(context, Error{ErrorKind::BundleConflict, name,
                             "other operators published first " + std::to_string(kMaximumAttempts) +
                                 " times",
                             "try again"});
}

}  // namespace

ExitCode runDrain(CommandContext& context) {
  const Result<Success> flags = requireFlags(context, {"log", "settings", "key", "name"});
  if (!succeeded(flags)) {
    return fail(context, errorOf(flags));
  }
  const Result<std::string> pem = readFile(context.options.key);
  if (!succeeded(pem)) {
    return fail(context, errorOf(pem));
  }
  const Result<std::unique_ptr<LogSession>> session = LogSession::open(context);
  if (!succeeded(session)) {
    return fail(context, errorOf(session));
  }
  return drain(context, *valueOf(session), valueOf(pem));
}

}  // namespace gorsetrail::cli
