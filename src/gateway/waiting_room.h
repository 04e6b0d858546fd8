/// Calls that wait in this gateway until an engine has room for them.
///
/// Load: a burst that takes the slots of the engines which keep a call's
/// beginning. A queue inside an engine can't be moved, is lost with the engine
/// and lets urgent calls stop others amid their streams; an engine with a free
/// slot would read the beginning once more. Calls here go on to any engine, and
/// a refusal is still true.
///
/// Gateways share the engines' room without an owner: each asks anew with what
/// it knows of all calls placed by then. Without digests it knows of its own
/// calls and of engines' reports, engines get more than they have slots for,
/// and their own queues take the rest.
#ifndef CROWSTEP_GATEWAY_WAITING_ROOM_H
#define CROWSTEP_GATEWAY_WAITING_ROOM_H

#include "balance/balance_type.h"
#include "core/scheduler.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace crowstep::gateway {

/// What a waiting call is ordered by.
struct WaitingCall {
  balance::Urgency m_Urgency = 0; ///< 0 goes first.
  std::string m_Workspace;        ///< Whose it is; may be empty.
};

class WaitingRoom {
public:
  /// Calls that wait at once. With bodies of up to 110 KB they take 14 MB, a
  /// seventh of the smallest instance's memory.
  static constexpr std::size_t MaxCalls = 128;

  /// How often all are asked again: half of the time between two digests, and
  /// well under the part of a target that a call may wait.
  static constexpr Duration AskInterval = std::chrono::milliseconds(50);

  /// A place in the room; the call has left it once this is destroyed.
  class Place {
  public:
    ~Place() { m_Room.leave(m_Number); }
    Place(const Place &) = delete;
    Place &operator=(const Place &) = delete;

  private:
    friend class WaitingRoom;
    Place(WaitingRoom &Room, std::uint64_t Number)
        : m_Room(Room), m_Number(Number) {}

    WaitingRoom &m_Room;    ///< Outlives the place.
    std::uint64_t m_Number; ///< Names the call there.
  };

  explicit WaitingRoom(Scheduler &Timers) : m_Tick(Timers) {}

  [[nodiscard]] bool full() const { return m_Calls.size() >= MaxCalls; }
  [[nodiscard]] std::size_t size() const { return m_Calls.size(); }

  /// Takes a call; \p AskAgain runs each AskInterval until the place is given
  /// up, which it may do itself.
  std::unique_ptr<Place> enter(WaitingCall Which,
                               std::function<void()> AskAgain);

private:
  /// A call and what to do for it.
  struct Waiting {
    WaitingCall m_Call;
    std::function<void()> m_AskAgain;
  };

  void leave(std::uint64_t Number);
  void ask();
  [[nodiscard]] std::vector<std::uint64_t> order() const;

  std::map<std::uint64_t, Waiting> m_Calls; ///< By arrival.
  std::uint64_t m_LastNumber = 0;           ///< Numbers start at 1.
  Timer m_Tick;                             ///< Runs while calls wait.
};

} // namespace crowstep::gateway

#endif // CROWSTEP_GATEWAY_WAITING_ROOM_H
