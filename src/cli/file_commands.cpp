/// Commands that need no network: keygen, bundle check and bundle sign.
#include "bundle/bundle_digest.h"
#include "bundle/ed25519.h"
#include "cli/bundle_files.h"
#include "cli/command.h"
#include "cli/files.h"
#include "cli/report.h"
#include "cli/signing.h"

namespace gorsetrail::cli {
namespace {

std::string envelopePathFor(const std::string& path, const BundleFile& file) {
  if (file.isEnvelope) {
    return path;
  }
  constexpr std::string_view kJsonEnding = ".json";
  const std::string stem =
      path.ends_with(kJsonEnding) ? path.substr(0, path.size() - kJsonEnding.size()) : path;
  return stem + ".envelope";
}

/// Signatures are added to an envelope in place; any other file is overwritten only by --force.
Existing existingRule(const CommandContext& context, const std::string& target,
                      const BundleFile& file) {
  const bool isItself = file.isEnvelope && target == context.arguments.front();
  return context.options.force || isItself ? Existing::Replace : Existing::Keep;
}

}  // namespace

ExitCode runKeygen(CommandContext& context) {
  const Result<Success> flags = requireFlags(context, {"name", "out"});
  if (!succeeded(flags)) {
    return fail(context, errorOf(flags));
  }
  const Result<bundle::KeyPair> keys = bundle::generateKeyPair();
  if (!succeeded(keys)) {
    return fail(context, errorOf(keys));
  }
  const Existing existing = context.options.force ? Existing::Replace : Existing::Keep;
  const Result<Success> written =
      writeFile(context.options.out, valueOf(keys).privateKeyPem, FileAccess::OwnerOnly, existing);
  if (!succeeded(written)) {
    return fail(context, errorOf(written));
  }
  // Always JSON: it is pasted into `operators` of bundles and `trust` of settings.
  context.out << jsonText({{"name", context.options.name}, {"public_key", valueOf(keys).publicKey}},
                          -1)
              << '\n';
  return ExitCode::Done;
}

ExitCode runBundleCheck(CommandContext& context) {
  const std::string& path = context.arguments.front();
  const Result<BundleFile> file = loadBundleFile(path);
  if (!succeeded(file)) {
    return fail(context, errorOf(file));
  }
  const std::string& text = valueOf(file).content.bundleJson;
  const std::vector<Error> errors = checkBundleText(path, text);
  if (!errors.empty()) {
    return fail(context, errors);
  }
  const OrderedJson document = parseOrderedJson(text);
  printObject(context.out, context.options.format,
              {{"file", path},
               {"check", "passed"},
               {"site", document["site"]},
               {"version", document["version"]},
               {"base", document["base"]},
               {"digest", bundle::bundleDigest(text)},
               {"signatures", valueOf(file).content.signatures.size()}});
  return ExitCode::Done;
}

ExitCode runBundleSign(CommandContext& context) {
  const Result<Success> flags = requireFlags(context, {"key", "name"});
  if (!succeeded(flags)) {
    return fail(context, errorOf(flags));
  }
  const std::string& path = context.arguments.front();
  Result<BundleFile> file = loadBundleFile(path);
  if (!succeeded(file)) {
    return fail(context, errorOf(file));
  }
  bundle::SignedBundle& content = valueOf(file).content;
  const std::vector<Error> errors = checkBundleText(path, content.bundleJson);
  if (!errors.empty()) {
    return fail(context, errors);
  }
  const Result<std::string> key = readFile(context.options.key);
  if (!succeeded(key)) {
    return fail(context, errorOf(key));
  }
  const Result<Success> added = addSignature(content, context.options.name, valueOf(key));
  if (!succeeded(added)) {
    return fail(context, errorOf(added));
  }
  const std::string target =
      context.options.out.empty() ? envelopePathFor(path, valueOf(file)) : context.options.out;
  const Result<Success> written =
      writeFile(target, bundle::encodeEnvelope(content), FileAccess::Everybody,
                existingRule(context, target, valueOf(file)));
  if (!succeeded(written)) {
    return fail(context, errorOf(written));
  }
  printObject(context.out, context.options.format,
              {{"envelope", target}, {"signatures", content.signatures.size()}});
  return ExitCode::Done;
}

}  // namespace gorsetrail::cli
