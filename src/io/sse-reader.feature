Feature: Detection of unresponsive event streams
  A stream that is aborted without need is requested again, and its request may finally run a second time.

  Scenario: This process is paused beyond the idle timeout, and an event has arrived
    # Guards against aborting a stream whose events have arrived: after a pause, timers run before sockets.
    Given a stream that sends a second event once the first is read, and then pauses this process for 600 ms
    When it is read with an idle timeout of 400 ms
    Then 2 events were read, and the stream ended as "ended"

  Scenario: This process is paused beyond the idle timeout, and the next event needs some more turns of the event loop
    # Guards against mistaking a pause of this process for an unresponsive sender.
    Given a stream that, once its first event is read, sends a second one 50 ms after this process was paused for 600 ms
    When it is read with an idle timeout of 400 ms
    Then 2 events were read, and the stream ended as "ended"

  Scenario: An unresponsive sender
    Given a stream that sends one event only
    When it is read with an idle timeout of 400 ms
    Then 1 events were read, and the stream ended as "silent"

  Scenario: An unresponsive sender after its reader has paused
    Given a stream that sends one event only
    When it is read with an idle timeout of 400 ms, and paused for 600 ms after its first event
    Then 1 events were read, and the stream ended as "silent" no sooner than 950 ms after its first event
