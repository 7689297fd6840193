Feature: When an event stream counts as silent
  A stream that is given up for nothing is asked for again, and in the end its request is run a second time.

  Scenario: This process is paused for longer than a stream may be silent, and an event has come
    # Guards against streams that are given up although their events have come: timers run before sockets.
    Given a stream that sends an event, and once it is read a second one, after which this process is paused for 600 ms
    When it is followed, and may be silent for 400 ms
    Then 2 events were read, and the stream "ended"

  Scenario: This process is paused for longer than a stream may be silent, and the next event needs some turns more
    # Guards against a pause of this process that passes for the sender's silence.
    Given a stream that sends an event, and once it is read a second one 50 ms after this process was paused for 600 ms
    When it is followed, and may be silent for 400 ms
    Then 2 events were read, and the stream "ended"

  Scenario: A sender that falls silent
    Given a stream that sends an event, and nothing more
    When it is followed, and may be silent for 400 ms
    Then 1 events were read, and the stream "silent"

  Scenario: A sender that falls silent after its reader has read no more for a while
    Given a stream that sends an event, and nothing more
    When it is followed, may be silent for 400 ms, and is not read for 600 ms after its first event
    Then 1 events were read, and the stream "silent" no sooner than 950 ms after its first event
