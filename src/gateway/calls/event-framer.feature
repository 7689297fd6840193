Feature: Splitting a stream of bytes into events
  A stream arrives in chunks that are split anywhere. Complete events are forwarded, and at the end it is known whether
  the stream stopped within one.

  Scenario Outline: Wherever a stream is split into chunks, its events and its end are found
    # Guards against an end of the stream that depends on how its bytes were transported, or on the server's line ends.
    When a stream with line ends <lines> is split into two chunks at any offset
    Then all its bytes are forwarded in order each time
    And it ends between events each time

    Examples:
      | lines     |
      | "\n"      |
      | "\r\n"    |
      | "\r"      |

  Scenario Outline: A stream that stops within an event is detected
    # Guards against a truncated stream being taken for complete.
    When a stream with line ends <lines> stops within its last event, at any offset
    Then it ends within an event each time

    Examples:
      | lines  |
      | "\n"   |
      | "\r\n" |
      | "\r"   |

  Scenario Outline: A long event that is <passing> costs no more for each of its chunks
    # Guards against one event of many chunks delaying all other calls of the process: the cost was quadratic in its length.
    When an event of 32 MB arrives in chunks of 64 kB and is <passing>
    Then processing it has taken less than 2000 ms of processor time

    Examples:
      | passing  |
      | held     |
      | followed |
