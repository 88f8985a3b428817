/// Commands on the log's bundle stream: publish, history, diff.
#include "bundle/json_text.h"
#include "cli/bundle_diff.h"
#include "cli/bundle_files.h"
#include "cli/command.h"
#include "cli/log_session.h"
#include "cli/report.h"

namespace gorsetrail::cli {
namespace {

void printDiff(std::ostream& out, OutputFormat format, const std::string& before,
               const std::string& after) {
  const std::vector<BundleChange> changes = diffBundles(
      nlohmann::json::parse(before, nullptr, false), nlohmann::json::parse(after, nullptr, false));
  if (format == OutputFormat::Table) {
    for (const BundleChange& change : changes) {
      out << formatChange(change) << '\n';
    }
    return;
  }
  Table table{{"path", "before", "after"}, {}};
  for (const BundleChange& change : changes) {
    const auto value = [](const std::string& text) {
      return text.empty() ? OrderedJson() : OrderedJson::parse(text, nullptr, false);
    };
    table.rows.push_back({change.path, value(change.before), value(change.after)});
  }
  printTable(out, format, table);
}

/// After a conflict, prints the changes from the base version to the newest accepted one.
void printWinningChanges(CommandContext& context, const BundleHistory& history,
                         BundleVersion base) {
  const auto before = history.recent(base);
  const auto newest = history.newest();
  if (context.options.format == OutputFormat::Json || before == nullptr || newest == nullptr ||
      before == newest) {
    return;
  }
  context.err << "changed from version " << before->bundle.version.value() << " to version "
              << newest->bundle.version.value() << ":\n";
  printDiff(context.err, context.options.format, bundleJsonOf(*before), bundleJsonOf(*newest));
}

BundleVersion baseOf(const BundleFile& file) {
  const auto parsed = bundle::parseBundle(file.content.bundleJson);
  const auto* content = std::get_if<bundle::Bundle>(&parsed);
  return content == nullptr ? BundleVersion() : content->base;
}

std::string outcomeTextOf(const HistoryEntry& entry, const BundleHistory& history) {
  if (entry.refusal) {
    return entry.refusal->reason;
  }
  const auto newest = history.newest();
  return newest != nullptr && newest->bundle.version == entry.version ? "in force" : "superseded";
}

std::string joined(const std::vector<std::string>& names) {
  std::string text;
  for (const std::string& name : names) {
    text += (text.empty() ? "" : ",") + name;
  }
  return text;
}

ExitCode diffFiles(CommandContext& context, const std::string& before) {
  const Result<BundleFile> after = loadBundleFile(context.arguments.back());
  if (!succeeded(after)) {
    return fail(context, errorOf(after));
  }
  for (const std::string* text : {&before, &valueOf(after).content.bundleJson}) {
    const auto parsed = bundle::parseJsonText(*text);
    if (const auto* errors = std::get_if<std::vector<Error>>(&parsed)) {
      return fail(context, *errors);
    }
  }
  printDiff(context.out, context.options.format, before, valueOf(after).content.bundleJson);
  return ExitCode::Done;
}

}  // namespace

ExitCode runBundlePublish(CommandContext& context) {
  const std::string& path = context.arguments.front();
  const Result<BundleFile> file = loadBundleFile(path);
  if (!succeeded(file)) {
    return fail(context, errorOf(file));
  }
  if (!valueOf(file).isEnvelope) {
    return fail(context, Error{ErrorKind::InvalidField, path, "the bundle is not signed",
                               "sign it first: gorsetrail bundle sign " + path});
  }
  const std::vector<Error> errors = checkBundleText(path, valueOf(file).content.bundleJson);
  if (!errors.empty()) {
    return fail(context, errors);
  }
  const Result<std::unique_ptr<LogSession>> session = LogSession::open(context);
  if (!succeeded(session)) {
    return fail(context, errorOf(session));
  }
  const Result<Publication> result = valueOf(session)->publisher().publish(valueOf(file).bytes);
  if (!succeeded(result)) {
    const ExitCode code = fail(context, errorOf(result));
    if (code == ExitCode::Conflict) {
      printWinningChanges(context, valueOf(session)->history(), baseOf(valueOf(file)));
    }
    return code;
  }
  const Publication& publication = valueOf(result);
  printObject(context.out, context.options.format,
              {{"result", publication.wasAlreadyPublished ? "already published" : "published"},
               {"won", true},
               {"version", publication.version.value()},
               {"offset", publication.offset.value()},
               {"newest", valueOf(session)->history().newest()->bundle.version.value()}});
  return ExitCode::Done;
}

ExitCode runBundleHistory(CommandContext& context) {
  const Result<std::unique_ptr<LogSession>> session = LogSession::open(context);
  if (!succeeded(session)) {
    return fail(context, errorOf(session));
  }
  const BundleHistory& history = valueOf(session)->history();
  Table table{{"offset", "version", "base", "signers", "won", "fate"}, {}};
  for (const HistoryEntry& entry : history.entries()) {
    table.rows.push_back({entry.offset.value(), entry.version.value(), entry.base.value(),
                          joined(entry.signers), !entry.refusal.has_value(),
                          outcomeTextOf(entry, history)});
  }
  printTable(context.out, context.options.format, table);
  return ExitCode::Done;
}

ExitCode runBundleDiff(CommandContext& context) {
  if (context.arguments.size() == 2) {
    const Result<BundleFile> before = loadBundleFile(context.arguments.front());
    if (!succeeded(before)) {
      return fail(context, errorOf(before));
    }
    return diffFiles(context, valueOf(before).content.bundleJson);
  }
  const Result<std::unique_ptr<LogSession>> session = LogSession::open(context);
  if (!succeeded(session)) {
    return fail(context, errorOf(session));
  }
  const auto newest = valueOf(session)->history().newest();
  return diffFiles(context, newest == nullptr ? "{}" : bundleJsonOf(*newest));
}

}  // namespace gorsetrail::cli
