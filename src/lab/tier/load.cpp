#include "lab/tier/load.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstdio>
#include <cstdlib>

namespace chutevane::lab::tier {
namespace {

constexpr Span silence_most = Span::ms(2000);      // four times the objective, and eight pauses are less
constexpr Span answer_late = Span::ms(500 + 100);  // an answer is due by then, and a way to the client
constexpr std::size_t tries_most = 6;              // of one request, inside its time
constexpr int anew_most = 2;                       // a turn is sent from its start so often again
constexpr Span stall_least = Span::ms(50), stall_spread = Span::ms(600);  // of a client that sends slowly
constexpr Span leave_spread = Span::ms(300);  // after which one that leaves does so
constexpr Span heirs_ask = Span::ms(12000);   // as long as a deployment has to recover

std::string hex(std::uint64_t value) {
  char text[17];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(value));
  return text;
}

}  // namespace

// ---- one request, in as many tries as its kind and its time allow

class Load::RequestInProgress final : public HttpConnection::ResponseHandler {
 public:
  RequestInProgress(Load& load, RequestSpec want, std::function<void(const RequestResult&)> done,
                    std::uint64_t place)
      : load_(load), request_spec_(std::move(want)), done_(std::move(done)), place_(place) {
    until_ = load_.timers_.now() + request_spec_.lasts;
  }
  ~RequestInProgress() {
    load_.timers_.cancel(leaves_);
    load_.timers_.cancel(due_);
    load_.timers_.cancel(again_);
  }
  void go() {
    ++tries_;
    id_ = load_.new_id();
    status_ = 0;
    seal_.clear();
    retry_after_ = Span();
    bytes_.clear();
    heard_ = false;
    began_ = load_.timers_.now();
    load_.auditor_.asked(
        {id_, request_spec_.sort, request_spec_.program, request_spec_.previous, request_spec_.input,
         request_spec_.most, request_spec_.budget, request_spec_.retention},
        began_);
    HeaderFields fields{
        {"X-Chutevane-Attempt-Id", id_},
        {"X-Chutevane-Time-Remaining", std::to_string(static_cast<long>((until_ - began_).as_ms()))}};
    const auto put = [&](const char* name, const std::string& value) {
      if (!value.empty()) fields.emplace_back(name, value);
    };
    put("Program", request_spec_.program);
    put("Session", request_spec_.session);
    put("Finish-Ms", request_spec_.program.empty() ? "" : "20000");
    put("Previous", request_spec_.previous);
    if (request_spec_.event_pause > Span())
      put(event_pause_field, std::to_string(static_cast<long>(request_spec_.event_pause.as_ms())));
    if (request_spec_.budget) put("Budget", std::to_string(*request_spec_.budget));
    if (request_spec_.sort == RequestKind::turn) {
      put("X-Chutevane-Model", "m");
      put("X-Chutevane-Token-Count",
          std::to_string(request_spec_.input.size() / 4 + 1) + "," + std::to_string(request_spec_.most));
      put("X-Chutevane-Prompt-Prefix", request_spec_.parts);
    }
    line_ = &load_.line_for(request_spec_.client, tries_ - 1);
    wait();
    send(request_text(request_spec_.sort == RequestKind::idempotent ? "GET" : "POST", request_spec_.path,
                      host, fields, request_spec_.input));
  }

 private:
  // As its client's manners have it.
  void send(const std::string& request) {
    const Misbehavior& misbehavior = load_.spec_.misbehavior;
    Chance& habits = load_.habits_;
    if (habits.one_in(misbehavior.client_stalls)) {
      line_->send_in_two_parts(*this, request, habits.below(request.size()),
                               stall_least + stall_spread * habits.unit());
    } else {
      line_->ask(*this, request);
    }
    if (habits.one_in(misbehavior.client_half_closes)) {
      line_->end_writing();
      load_.auditor_.loses_output(id_);  // an end of the stream counts as leaving
    }
    if (habits.one_in(misbehavior.client_leaves))
      leaves_ = load_.timers_.after(leave_spread * habits.unit(), [this] { leave(); });
  }
  void leave() {
    line_->close();
    load_.auditor_.left(id_, load_.timers_.now());
    over(AttemptOutcome::broken);
  }
  void wait() {
    load_.timers_.cancel(due_);
    const TimePoint silent = load_.timers_.now() + silence_most;
    const TimePoint until = load_.spec_.judge_late ? until_ + answer_late : until_;
    const bool by_silence = request_spec_.sort == RequestKind::turn && silent < until;
    due_ = load_.timers_.at(by_silence ? silent : until, [this, by_silence] {
      if (load_.spec_.judge_late && !by_silence)
        load_.auditor_.report_violation(
            Rule::late, id_ + " has no answer " + std::to_string(answer_late.as_ms()) + " ms after its time");
      line_->close();
      load_.auditor_.loses_output(id_);
      over(AttemptOutcome::broken);
    });
  }
  void on_head(const http::Parser& answer) override {
    status_ = answer.status();
    seal_ = answer.find("X-Chutevane-Server-Seal").value_or("");
    const std::string wait(answer.find("Retry-After").value_or(""));
    retry_after_ = Span::ms(std::strtod(wait.c_str(), nullptr) * 1000);
    if (const auto id = answer.find("X-Chutevane-Attempt-Id"); status_ == 200 && id != id_)
      load_.auditor_.report_violation(Rule::joined,
                                      id_ + " got the answer to " + std::string(id.value_or("nothing")));
  }
  void on_body(std::string_view piece) override {
    bytes_ += piece;
    if (request_spec_.sort != RequestKind::turn || status_ != 200) return;
    wait();
    for (std::size_t end = bytes_.find("\n\n"); end != std::string::npos; end = bytes_.find("\n\n")) {
      event(std::string_view(bytes_).substr(0, end + 1));
      bytes_.erase(0, end + 2);
    }
  }
  void event(std::string_view text) {
    std::string data;
    std::int64_t number = -1;
    for (std::size_t at = 0; at < text.size();) {
      const std::size_t end = text.find('\n', at);
      const std::string_view line = text.substr(at, end - at);
      at = end + 1;
      if (line.starts_with("data: ")) data.append(line.substr(6)).append("\n");
      if (line.starts_with("id: ")) std::from_chars(line.data() + 4, line.data() + line.size(), number);
    }
    if (!std::exchange(heard_, true)) first_ = load_.timers_.now();
    load_.auditor_.came(id_, number, data);
  }
  void on_complete() override {
    if (line_->reusable()) load_.idle(request_spec_.client, *line_);
    if (status_ == 200) {
      if (!heard_) first_ = load_.timers_.now();
      if (request_spec_.sort != RequestKind::turn) load_.auditor_.came_plain(id_, bytes_);
      if (request_spec_.sort == RequestKind::turn && !bytes_.empty())
        load_.auditor_.report_violation(Rule::joined, id_ + ": a part of an event at its end");
      return over(AttemptOutcome::whole);
    }
    if (status_ == 503 || status_ == 429 || status_ == 408 || status_ == 421)
      return over(AttemptOutcome::promised);
    if (status_ == 402) return over(AttemptOutcome::spent);
    if (status_ == 404) return over(AttemptOutcome::unknown);
    over(status_ >= 400 && status_ < 500 ? AttemptOutcome::denied : AttemptOutcome::broken);
  }
  void on_failed(bool unsent) override { over(unsent ? AttemptOutcome::promised : AttemptOutcome::broken); }

  void over(AttemptOutcome how) {
    const auto self = load_.requests_.at(place_);
    load_.timers_.cancel(due_);
    load_.timers_.cancel(leaves_);
    const TimePoint now = load_.timers_.now();
    load_.auditor_.answered(id_, how, seal_, now);
    // A try that its endpoint spoilt tells nothing of the tier.
    const bool good = how == AttemptOutcome::whole || how == AttemptOutcome::spent;
    if (request_spec_.counted && (good || !load_.auditor_.was_troubled(id_)))
      load_.records_.push_back({began_, now, good, request_spec_.sort == RequestKind::turn,
                                how == AttemptOutcome::whole ? (first_ - began_).as_ms() : 0, id_, status_});
    const bool may = how == AttemptOutcome::promised ||
                     (how == AttemptOutcome::broken && request_spec_.sort == RequestKind::idempotent);
    const Span pause = std::max(retry_after_, Span::ms(20));
    if (may && tries_ < tries_most && pause * 3 < until_ - now) {
      again_ = load_.timers_.after(pause, [this] { go(); });
      return;
    }
    const RequestResult got{how, id_};
    const auto done = std::move(done_);
    load_.requests_.erase(place_);
    done(got);
  }

  Load& load_;
  const RequestSpec request_spec_;
  std::function<void(const RequestResult&)> done_;
  const std::uint64_t place_;
  TimePoint until_, began_, first_;
  std::size_t tries_ = 0;
  std::string id_, seal_, bytes_;
  int status_ = 0;
  Span retry_after_;
  bool heard_ = false;
  HttpConnection* line_ = nullptr;
  net::TimerQueue::Handle due_, again_, leaves_;
};

// ---- one program

class Load::Program {
 public:
  struct Step {
    std::int64_t most = 0;
    std::string input;
    std::size_t tools = 0, acts = 0;
    Span pause;
    std::vector<Step> sub_agent;  // its steps; none: no sub-agent
  };
  struct Conversation {  // a line of turns
    std::string session, previous;
    std::vector<Step> steps;
    std::size_t at = 0;
    int anew = 0;
    bool main = false;
    std::function<void()> done;
  };

  // `from`: the turn that it goes on from; then it is an heir, and asks until its time is over.
  Program(Load& load, std::size_t number, std::string from)
      : load_(load), chance_(load.spec_.seed, "program " + std::to_string(number)), heir_(!from.empty()) {
    client_ = word();
    name_ = hex(word()).substr(4);
    loops_ = !heir_ && number % 8 == 3;
    const std::size_t steps = heir_ ? 1 : loops_ ? 1 : 3 + chance_.below(4);
    main_ = std::make_shared<Conversation>();
    main_->main = true;
    main_->session = hex(word()).substr(10);
    main_->previous = std::move(from);
    std::int64_t all = 0;
    for (std::size_t i = 0; i < steps; ++i) {
      main_->steps.push_back(draw(!heir_ && (loops_ || (i > 0 && chance_.one_in(0.25)))));
      all += main_->steps.back().most * (main_->steps.back().sub_agent.empty() ? 1 : 3);
    }
    // Room for a turn that breaks off and counts at its most; a loop's is spent in some rounds.
    budget_ = loops_ ? all * 4 : all * 4 + 200;
    parts_ = hex(chance_.below(4) + 1) + ":800," + hex(word()) + ":200";
    last_possible_ = load_.timers_.now() + heirs_ask;
  }
  bool is_heir() const { return heir_; }
  void start() { turn(main_); }

 private:
  std::uint64_t word() {
    const std::uint64_t high = chance_();
    return high << 32U | chance_();
  }
  Step draw(bool sub_agent) {
    Step s;
    s.most = tokens_per_event * static_cast<std::int64_t>(4 + chance_.below(13));
    s.input = "input " + hex(word()) + std::string(20 + chance_.below(400), 'i') +
              (chance_.one_in(0.5) ? "\n" : "");
    s.tools = chance_.below(3);
    s.acts = chance_.below(2);
    s.pause = Span::ms(20 + static_cast<double>(chance_.below(80)));
    for (std::size_t i = 0; sub_agent && i < (loops_ ? 1U : 2U); ++i) {
      s.sub_agent.push_back(draw(false));
      s.sub_agent.back().most = std::min(s.sub_agent.back().most, s.most);
    }
    return s;
  }

  void turn(const std::shared_ptr<Conversation>& conversation) {
    const Step& step = conversation->steps[conversation->at];
    RequestSpec want;
    want.path = "/turns/say";
    want.program = name_;
    want.session = conversation->session;
    want.previous = conversation->previous;
    want.input = step.input;
    want.parts = parts_;
    want.budget = budget_;
    want.most = step.most;
    want.client = client_;
    load_.ask(want, [this, conversation](const RequestResult& got) { turned(conversation, got); });
  }

  void turned(const std::shared_ptr<Conversation>& conversation, const RequestResult& got) {
    const Step step = conversation->steps[conversation->at];
    switch (got.how) {
      case AttemptOutcome::whole: {
        conversation->previous = got.id;
        conversation->anew = 0;
        if (conversation->main) last_ = got.id;
        auto open = std::make_shared<std::size_t>(step.tools + step.acts + (step.sub_agent.empty() ? 0 : 1));
        const auto one_over = [this, conversation, open, pause = step.pause] {
          if (--*open == 0) load_.timers_.after(pause, [this, conversation] { next(conversation); });
        };
        if (*open == 0) {
          *open = 1;
          one_over();
          return;
        }
        for (std::size_t i = 0; i < step.tools + step.acts; ++i) tool(i >= step.tools, one_over);
        if (!step.sub_agent.empty()) sub_agent(step, conversation->previous, one_over);
        return;
      }
      case AttemptOutcome::spent:
        if (loops_) {
          spent_ = true;
          if (conversation->main && conversation->anew++ < anew_most) return again(conversation);
          return end(conversation, true);
        }
        return end(conversation, false);
      case AttemptOutcome::unknown:
      case AttemptOutcome::denied: return end(conversation, false);
      case AttemptOutcome::promised:
      case AttemptOutcome::broken:
        if (heir_ ? load_.timers_.now() < last_possible_ : conversation->anew++ < anew_most)
          return again(conversation);
        return end(conversation, false);
    }
  }
  void again(const std::shared_ptr<Conversation>& conversation) {
    ++load_.figures_.sent_anew;
    load_.timers_.after(Span::ms(100 + 300 * load_.habits_.unit()),
                        [this, conversation] { turn(conversation); });
  }
  void next(const std::shared_ptr<Conversation>& conversation) {
    if (over_) return;
    if (loops_ && conversation->main) return turn(conversation);  // the same step, round by round
    if (++conversation->at < conversation->steps.size()) return turn(conversation);
    end(conversation, true);
  }

  void tool(bool act, const std::function<void()>& over) {
    RequestSpec want;
    want.sort = act ? RequestKind::once : RequestKind::idempotent;
    want.path = act ? "/acts/do" : "/tools/look?for=it";
    want.program = name_;
    want.session = main_->session;
    if (act) want.input = "act " + name_ + " " + std::to_string(++acts_);
    want.lasts = Span::ms(3000);
    want.client = client_;
    ++load_.figures_.tools;
    load_.ask(want, [this, over](const RequestResult& got) {
      if (got.how == AttemptOutcome::whole) ++load_.figures_.tools_whole;
      over();
    });
  }
  // Its turns begin with its parent's; side by side with what else follows that turn.
  void sub_agent(const Step& step, const std::string& from, const std::function<void()>& over) {
    const auto conversation = std::make_shared<Conversation>();
    conversation->session = main_->session + "." + std::to_string(++sub_agents_);
    conversation->previous = from;
    conversation->steps = step.sub_agent;
    conversation->done = over;
    turn(conversation);
  }

  void end(const std::shared_ptr<Conversation>& conversation, bool well) {
    if (!well) failed_ = true;
    if (!conversation->main) return conversation->done();
    if (std::exchange(over_, true)) return;
    --load_.open_;
    load_.part(client_);
    Figures& f = load_.figures_;
    if (heir_) {
      f.heirs_whole += failed_ ? 0 : 1;
      if (failed_)
        load_.auditor_.report_violation(
            Rule::unserved,
            "an heir, program " + name_ + ", got no whole answer on from " + conversation->previous);
      return;
    }
    if (loops_ && spent_) ++f.loops_spent;
    if (failed_) {
      ++f.given_up;
      if (load_.spec_.judge_given_up)
        load_.auditor_.report_violation(Rule::unserved, "program " + name_ + " was given up");
    } else {
      ++f.done;
    }
    if (!last_.empty()) load_.last_turns_.push_back(last_);
  }

  Load& load_;
  Chance chance_;
  const bool heir_;
  bool loops_ = false, spent_ = false, failed_ = false, over_ = false;
  std::uint64_t client_ = 0, acts_ = 0, sub_agents_ = 0;
  std::string name_, parts_, last_;
  std::int64_t budget_ = 0;
  std::shared_ptr<Conversation> main_;
  TimePoint last_possible_;
};

// ---- all of them

Load::Load(net::Scheduler& scheduler, net::TimerQueue& later, HttpConnector& lines, Front& front,
           Auditor& auditor, const Spec& spec)
    : scheduler_(scheduler),
      timers_(later),
      lines_(lines),
      front_(front),
      auditor_(auditor),
      spec_(spec),
      arrivals_(spec.seed, "arrivals"),
      ids_(spec.seed, "ids"),
      habits_(spec.seed, "habits") {}

Load::~Load() = default;

std::string Load::new_id() {
  const std::uint64_t high = ids_();
  return hex(high << 32U | ids_());
}

void Load::ask(const RequestSpec& want, std::function<void(const RequestResult&)> done) {
  const std::uint64_t place = ++last_request_;
  const auto asking = std::make_shared<RequestInProgress>(*this, want, std::move(done), place);
  requests_[place] = asking;
  asking->go();
}

void Load::begin() {
  next_program();
  timers_.after(Span::ms(700), [this] { next_stranger(); });
}

void Load::next_program() {
  if (stopped_) return;
  ++open_;
  ++figures_.programs;
  programs_.push_back(std::make_unique<Program>(*this, programs_.size(), ""));
  if (programs_.size() % 8 == 4) ++figures_.loops;
  programs_.back()->start();
  const double pause_ms = -std::log(1 - arrivals_.unit()) * 1000.0 / spec_.programs_per_s;
  timers_.after(Span::ms(pause_ms), [this] { next_program(); });
}

// Asks for what never was: 404, or 503 while that is not certain.
void Load::next_stranger() {
  if (stopped_) return;
  RequestSpec want;
  want.path = "/turns/say";
  want.program = "dead" + new_id().substr(12);
  want.session = "beef";
  want.previous = new_id();
  want.input = "who?";
  want.most = tokens_per_event;
  want.lasts = Span::ms(2000);
  want.client = 7;
  want.counted = false;
  ++figures_.strangers;
  ask(want, [this](const RequestResult& got) {
    if (got.how == AttemptOutcome::unknown || got.how == AttemptOutcome::promised)
      ++figures_.strangers_refused;
  });
  timers_.after(Span::ms(700), [this] { next_stranger(); });
}

void Load::go_on_from_old(std::size_t most) {
  const std::size_t count = std::min(most, last_turns_.size());
  for (std::size_t i = 0; i < count; ++i) {
    const std::string from = last_turns_[i * last_turns_.size() / count];
    ++open_;
    ++figures_.heirs;
    programs_.push_back(std::make_unique<Program>(*this, 1000000 + i, from));
    timers_.after(Span::ms(static_cast<double>(i) * 10),
                  [program = programs_.back().get()] { program->start(); });
  }
}

// ---- connections

HttpConnection& Load::line_for(std::uint64_t client, std::size_t again) {
  auto& idle = idle_[client];
  while (again == 0 && !idle.empty()) {
    HttpConnection* const line = idle.back();
    idle.pop_back();
    line->on_gone({});
    if (line->reusable()) return *line;
    line->close();
  }
  return lines_.open(front_.pick(client, again));
}

void Load::idle(std::uint64_t client, HttpConnection& line) {
  idle_[client].push_back(&line);
  line.on_gone([this, client](HttpConnection& gone) { std::erase(idle_[client], &gone); });
}

void Load::part(std::uint64_t client) {
  auto& idle = idle_[client];
  while (!idle.empty()) {
    HttpConnection* const line = idle.back();
    idle.pop_back();
    line->on_gone({});
    line->close();
  }
}

}  // namespace chutevane::lab::tier
