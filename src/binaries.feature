Feature: The built programs work together

  Each program runs as its own process, as on the VMs: two entries, three agents beside two engines and one plain service, and the platform's stand-ins. What passes in one process may fail across several: settings files, addresses, signals, bundles that leave something out.

  Background:
    Given two entries and three agents run as separate processes
    And an operator applies the fleet's resources with citronctl

  Scenario: Every kind of work passes through the separate programs
    When a caller asks each entry for a stream, a whole answer and a plain call
    And a caller submits a batch job of 30 items at one entry and reads it at the other
    Then every answer is the one that belongs to its prompt
    And the plain call ran once
    And the batch job has each of its 30 items once

  Scenario: A planned stop ends the programs with exit code 0 and cuts off no request

    The caller's stream is under way when its entry and its agent are told to stop. Both take no new work, let the stream end, and leave; a request that comes afterwards is served by the others.

    When a caller reads a long stream through the first entry
    And the first entry and the agent that serves the stream receive SIGTERM
    Then the caller's stream is whole
    And both processes end with exit code 0
    And the second entry still answers
