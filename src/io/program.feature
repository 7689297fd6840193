Feature: Lifecycle of a daemon
  A supervisor starts a program, stops it with SIGTERM and reads its exit code.
  A planned stop lets work in progress finish. A violated invariant stops the process immediately,
  since with a corrupt state it might answer a caller twice.

  Scenario: A planned stop finishes work in progress
    Given a daemon that "drains" has started
    When the daemon receives "SIGTERM"
    Then the daemon printed "work done" and exited with 0
    And the daemon logged events "100, 101, 102"

  Scenario: Settings are reloaded
    # An operator edits the file and sends SIGHUP. Without a listener the signal would terminate the process.
    Given a daemon that "drains" has started
    When the settings of the daemon are changed to "debug" and it receives "SIGHUP"
    And the daemon receives "SIGTERM" once event 106 is logged
    Then the daemon printed "work done" and exited with 0
    And the daemon logged events "100, 106, 101, 102"

  Scenario: Invalid settings are rejected
    Given a daemon that "drains" has started
    When the settings of the daemon are changed to "nonsense" and it receives "SIGHUP"
    And the daemon receives "SIGTERM" once event 107 is logged
    Then the daemon printed "work done" and exited with 0
    And the daemon logged events "100, 107, 101, 102"

  Scenario: Log lines are dropped and counted when the reader is too slow
    # The reader of the log stalls. Lines are buffered in memory up to a limit, then they are dropped: the process must
    # not wait for the reader, and a gap in the log must not look like a process without activity.
    Given a daemon that "floods" has started
    When the daemon receives "SIGTERM" once event 108 is logged
    Then the daemon printed "work done" and exited with 0
    And all 40000 lines are logged or counted as dropped

  Scenario: A second signal interrupts the graceful shutdown
    Given a daemon that "hangs" has started
    When the daemon receives "SIGTERM"
    And the daemon receives "SIGINT" once event 101 is logged
    Then the daemon exited with 0
    And the daemon logged events "100, 101, 105"

  Scenario: A repeated SIGTERM does not interrupt the graceful shutdown
    # Guards against calls that are cut off because a supervisor asks for a stop twice.
    Given a daemon that "lingers" has started
    When the daemon receives "SIGTERM"
    And the daemon receives "SIGTERM" once event 101 is logged
    Then the daemon printed "work done" and exited with 0
    And the daemon logged events "100, 101, 109, 102"

  Scenario: A violated invariant stops the process
    Given a daemon that "breaks" has started
    When the daemon receives "SIGTERM"
    Then the daemon exited with 70
    And the daemon logged events "100, 101, 104"

  Scenario: A daemon that cannot start reports the reason
    When a daemon that "cannotStart" is started
    Then the daemon exited with 69
    And the daemon reported "sample-program: 127.0.0.1:0 is taken"

  Scenario: The settings check does not start the daemon
    When a daemon that "drains" is started with "--check"
    Then the daemon exited with 0
    And the daemon logged nothing

  Scenario: An invalid command line
    When a daemon that "drains" is started with "--nonsense"
    Then the daemon exited with 64
    And the daemon reported "Unknown option: --nonsense"
