/// `completion`: a script that completes commands, flags and file names.
#include <set>
#include <sstream>

#include "cli/command.h"

namespace gorsetrail::cli {
namespace {

struct WordLists {
  std::set<std::string> first;
  std::set<std::string> bundle;
};

WordLists collectWords() {
  WordLists lists;
  for (const Command& command : commands()) {
    std::istringstream stream(command.words);
    std::string first;
    std::string second;
    stream >> first >> second;
    lists.first.insert(first);
    if (!second.empty()) {
      lists.bundle.insert(second);
    }
  }
  return lists;
}

template <class List>
std::string joined(const List& list, const std::string& prefix) {
  std::string text;
  for (const std::string& item : list) {
    text += text.empty() ? "" : " ";
    text += prefix;
    text += item;
  }
  return text;
}

}  // namespace

ExitCode runCompletion(CommandContext& context) {
  if (context.arguments.front() != "bash") {
    return fail(context, Error{ErrorKind::InvalidField, context.arguments.front(),
                               "there is no completion for this shell", "name bash"});
  }
  const WordLists words = collectWords();
  context.out << "_gorsetrail() {\n"
                 "  local current=\"${COMP_WORDS[COMP_CWORD]}\"\n"
                 "  local words=\"\"\n"
                 "  if [[ \"$current\" == -* ]]; then\n"
                 "    words=\""
              << joined(flagNames(), "--")
              << "\"\n"
                 "  elif [[ \"$COMP_CWORD\" == 1 ]]; then\n"
                 "    words=\""
              << joined(words.first, "")
              << "\"\n"
                 "  elif [[ \"$COMP_CWORD\" == 2 && \"${COMP_WORDS[1]}\" == bundle ]]; then\n"
                 "    words=\""
              << joined(words.bundle, "")
              << "\"\n"
                 "  fi\n"
                 "  COMPREPLY=($(compgen -W \"$words\" -- \"$current\"))\n"
                 "}\n"
                 "complete -o default -F _gorsetrail gorsetrail\n";
  return ExitCode::Done;
}

}  // namespace gorsetrail::cli
