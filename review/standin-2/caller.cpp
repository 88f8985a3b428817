#include "caller.h"

#include <strings.h>

#include <algorithm>
#include <cstdlib>

namespace review {
namespace {

constexpr Milliseconds kConnectPatience{1000};
constexpr Milliseconds kDirectoryPatience{1000};
constexpr std::size_t kDirectoriesAsked = 3;

int statusOf(const Head& head) {
  const std::size_t space = head.startLine.find(' ');
  return space == std::string::npos ? 0 : std::atoi(head.startLine.c_str() + space + 1);
}

/// \return the strings of the list `addresses` of a JSON object.
std::vector<std::string> addressesOf(const std::string& json) {
  std::vector<std::string> addresses;
  std::size_t at = json.find('[', json.find("\"addresses\""));
  const std::size_t end = json.find(']', at);
  while (at != std::string::npos && at < end) {
    const std::size_t begin = json.find('"', at);
    const std::size_t close = json.find('"', begin + 1);
    if (begin == std::string::npos || close == std::string::npos || begin > end) {
      break;
    }
    addresses.push_back(json.substr(begin + 1, close - begin - 1));
    at = close + 1;
  }
  return addresses;
}

}  // namespace

int Answer::events() const {
  int count = 0;
  for (std::size_t at = body.find("\n\n"); at != std::string::npos;
       at = body.find("\n\n", at + 2)) {
    ++count;
  }
  return count;
}

Caller::Caller(std::string host, std::string region, std::string zone,
               std::vector<std::string> directories, Record& record, unsigned seed)
    : host_(std::move(host)),
      region_(std::move(region)),
      zone_(std::move(zone)),
      directories_(std::move(directories)),
      record_(record),
      random_(seed) {}

std::vector<std::string> Caller::resolve() {
  std::size_t asked = 0;
  for (const std::string& directory : directories_) {
    if (++asked > kDirectoriesAsked) {
      break;
    }
    const auto connection = connectTo(directory, kDirectoryPatience);
    const std::string request = "GET /v1/resolve?name=" + host_ + "&region=" + region_ +
                                "&zone=" + zone_ + " HTTP/1.1\r\nHost: directory\r\n\r\n";
    if (!connection || !connection->write(request)) {
      continue;
    }
    const auto head = connection->readHead(kDirectoryPatience);
    std::string body;
    if (head && statusOf(*head) == 200 &&
        connection->readBody(*head, kDirectoryPatience,
                             [&body](const std::string& part) { body += part; })) {
      return addressesOf(body);
    }
  }
  return {};
}

std::string Caller::chooseAddress(const std::string& excluded) {
  std::vector<std::string> addresses = resolve();
  addresses.erase(std::remove(addresses.begin(), addresses.end(), excluded), addresses.end());
  if (addresses.empty()) {
    return {};
  }
  return addresses[random_() % addresses.size()];
}

Milliseconds Caller::pauseAfter(const Answer& answer, Milliseconds left) {
  const double seconds = std::atof(answer.head.header("Retry-After").c_str());
  return std::min(Milliseconds(static_cast<long>(seconds * 1000)), left / 3);
}

Answer Caller::send(const std::string& address, const Try& sent,
                    const std::function<void(const Answer&)>& onPart) {
  Answer answer;
  std::unique_ptr<Connection> connection = std::move(kept_[address]);
  if (!connection || connection->isClosedByPeer()) {
    connection = connectTo(address, kConnectPatience);
  }
  record_.line("client: sends " + sent.id + " to " + address + " " + sent.method + " " +
               sent.target + " body of " + std::to_string(sent.body.size()) + " bytes");
  const std::string request =
      sent.method + " " + sent.target + " HTTP/1.1\r\nHost: " + host_ +
      "\r\nGorsetrail-Request-Id: " + sent.id +
      "\r\nGorsetrail-Deadline-Ms: " + std::to_string(sent.deadline.count()) + "\r\n" +
      sent.headerLines + "Content-Length: " + std::to_string(sent.body.size()) + "\r\n\r\n" +
      sent.body;
  if (connection && connection->write(request)) {
    if (const auto head = connection->readHead(sent.deadline)) {
      answer.head = *head;
      answer.status = statusOf(*head);
      answer.isWhole = connection->readBody(*head, sent.deadline, [&](const std::string& part) {
        answer.body += part;
        if (onPart) {
          onPart(answer);
        }
      });
    }
  }
  record_.line("client: " + sent.id + " got status " + std::to_string(answer.status) +
               (answer.isWhole ? ", whole" : ", not whole") + ", seal '" +
               answer.head.header("Gorsetrail-Response-Seal") + "', body of " +
               std::to_string(answer.body.size()) + " bytes" +
               (answer.status >= 300 ? ": " + answer.body : std::string()));
  const bool closes = strcasecmp(answer.head.header("Connection").c_str(), "close") == 0;
  if (answer.isWhole && !closes) {
    kept_[address] = std::move(connection);
  }
  return answer;
}

}  // namespace review
