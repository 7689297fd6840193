Feature: Events in the bytes of a stream
  A stream comes in pieces that are cut anywhere. Whole events are passed on, and at the end it is known whether the
  stream stopped within one.

  Scenario Outline: Wherever a stream is cut into pieces, its events and its end are found
    # Guards against an end of the stream that depends on how its bytes travelled, or on the line ends of its server.
    When a stream with line ends <lines> is cut into two pieces at any place
    Then all its bytes are passed on in order each time
    And it ends between events each time

    Examples:
      | lines     |
      | "\n"      |
      | "\r\n"    |
      | "\r"      |

  Scenario Outline: A stream that stops within an event is known as such
    # Guards against a stream whose last event is missing passing for whole.
    When a stream with line ends <lines> stops within its last event, at any place
    Then it ends within an event each time

    Examples:
      | lines  |
      | "\n"   |
      | "\r\n" |
      | "\r"   |

  Scenario Outline: A long event that is <passing> costs no more for each of its pieces
    # Guards against one event of many pieces holding up all other calls of the process: the work grew with its square.
    When an event of 32 MB comes in pieces of 64 kB and is <passing>
    Then that has taken less than 2000 ms of processor time

    Examples:
      | passing  |
      | held     |
      | followed |
