/// `bundle new`: writes a first bundle, or the version after a file or after the newest in the log.
#include "bundle/ed25519.h"
#include "cli/bundle_files.h"
#include "cli/command.h"
#include "cli/files.h"
#include "cli/log_session.h"
#include "cli/report.h"

namespace gorsetrail::cli {
namespace {

/// A minimal valid bundle; the operator replaces its names and addresses.
constexpr const char* kFirstBundle = R"json({
  "format": 1, "site": "", "version": 1, "base": 0, "latency_weight": 0.5, "signatures_needed": 1,
  "operators": [],
  "models": [{"name": "model-1", "context_tokens": 131072}],
  "adapters": [],
  "priorities": [{"name": "batch"}, {"name": "interactive", "above": "batch"}],
  "back_ends": [
    {"name": "engine-1", "kind": "engine", "zone": "zone-1", "address": "127.0.0.1:19001",
     "model": "model-1", "leaving": false},
    {"name": "application-1", "kind": "application", "zone": "zone-1",
     "address": "127.0.0.1:19101", "leaving": false}],
  "works": [
    {"name": "assistant", "kind": "engine", "model": "model-1", "priority": "interactive",
     "repeatable": true, "back_ends": ["engine-1"]},
    {"name": "filing", "kind": "application", "priority": "interactive", "repeatable": false,
     "back_ends": ["application-1"]}],
  "tenants": [
    {"name": "tenant-1", "works": ["assistant", "filing"],
     "budget": {"calls_per_program": 200, "tokens_per_program": 400000,
                "seconds_per_program": 7200, "tokens_per_minute": 2000000}}]
})json";

Result<OrderedJson> firstBundle(CommandContext& context) {
  const Result<Success> flags = requireFlags(context, {"site", "name", "key"});
  if (!succeeded(flags)) {
    Error error = errorOf(flags);
    error.remedy =
        "give --site, --name and --key for a first bundle, --base FILE for the next "
        "after a file, or --log and --settings for the next after the newest";
    return error;
  }
  const Result<std::string> pem = readFile(context.options.key);
  if (!succeeded(pem)) {
    return errorOf(pem);
  }
  const Result<std::string> publicKey = bundle::publicKeyOf(valueOf(pem));
  if (!succeeded(publicKey)) {
    return errorOf(publicKey);
  }
  OrderedJson document = OrderedJson::parse(kFirstBundle);
  document["site"] = context.options.site;
  document["operators"].push_back(
      {{"name", context.options.name}, {"public_key", valueOf(publicKey)}});
  return document;
}

Result<OrderedJson> nextAfterFile(const CommandContext& context) {
  const Result<BundleFile> file = loadBundleFile(context.options.base);
  if (!succeeded(file)) {
    return errorOf(file);
  }
  const std::string& text = valueOf(file).content.bundleJson;
  const std::vector<Error> errors = checkBundleText(context.options.base, text);
  if (!errors.empty()) {
    return errors.front();
  }
  return makeNextVersion(text);
}

Result<OrderedJson> nextAfterLog(CommandContext& context) {
  const Result<std::unique_ptr<LogSession>> session = LogSession::open(context);
  if (!succeeded(session)) {
    return errorOf(session);
  }
  const auto newest = valueOf(session)->history().newest();
  if (newest == nullptr) {
    return Error{ErrorKind::BundleNotInForce, "--log", "the log has no valid bundle of this site",
                 "make the first one: give --site, --name and --key"};
  }
  return makeNextVersion(bundleJsonOf(*newest));
}

Result<OrderedJson> makeBundle(CommandContext& context) {
  if (!context.options.base.empty()) {
    return nextAfterFile(context);
  }
  return context.options.log.empty() ? firstBundle(context) : nextAfterLog(context);
}

}  // namespace

ExitCode runBundleNew(CommandContext& context) {
  const Result<OrderedJson> document = makeBundle(context);
  if (!succeeded(document)) {
    return fail(context, errorOf(document));
  }
  const std::string text = jsonText(valueOf(document)) + "\n";
  const std::string& path = context.arguments.front();
  const std::vector<Error> errors = checkBundleText(path, text);
  if (!errors.empty()) {
    return fail(context, errors);
  }
  const Existing existing = context.options.force ? Existing::Replace : Existing::Keep;
  const Result<Success> written = writeFile(path, text, FileAccess::Everybody, existing);
  if (!succeeded(written)) {
    return fail(context, errorOf(written));
  }
  printObject(context.out, context.options.format,
              {{"file", path},
               {"version", valueOf(document)["version"]},
               {"base", valueOf(document)["base"]}});
  return ExitCode::Done;
}

}  // namespace gorsetrail::cli
