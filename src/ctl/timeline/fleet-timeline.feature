Feature: What a fleet did, second by second
  When many calls were late, the engineer on call has the logs of all fronts, and wants to see at a glance when it was
  and what was going on then. `citronctl timeline` adds the lines up.

  Scenario: Calls and items in flight are counted for as long as they were
    # A call of 1.5 s, from 0.5 s on, and an item that was cut off after 0.3 s.
    Given the lines of a log
      | at   | node    | event          | fields                             |
      | 500  | front-1 | callRouted     | id=c1                              |
      | 1200 | front-2 | itemStarted    | item=i1 dueInMs=-40                |
      | 1500 | front-2 | itemRunEnded   | item=i1 outcome=cut                |
      | 2000 | front-1 | callEnded      | id=c1 status=200 reason=answered firstByteMs=40 |
    Then the seconds are
      | callsInFlight | callsAnswered | firstByteP99Ms | itemsInFlight | runsBegunLate | runsCut |
      | 0.5           | 0             | 0              | 0             | 0             | 0       |
      | 1             | 0             | 0              | 0.3           | 1             | 1       |
      | 0             | 1             | 40             | 0             | 0             | 0       |

  Scenario: Attempts of a call count one after the other
    # The first replica has failed it; the call is not in flight at two.
    Given the lines of a log
      | at  | node    | event         | fields                            |
      | 0   | front-1 | callRouted    | id=c1                             |
      | 200 | front-1 | attemptFailed | id=c1                             |
      | 200 | front-1 | callRouted    | id=c1                             |
      | 600 | front-1 | callEnded     | id=c1 status=503 reason=full      |
    Then the seconds are
      | callsInFlight | callsRefused | callsFailed |
      | 0.6           | 1            | 0           |

  Scenario: What a killed process had in flight ends with its last line
    # It writes no line of the end. Counted on, places would seem taken that are free.
    Given the lines of a log
      | at   | node    | event          | fields            |
      | 0    | front-1 | itemStarted    | item=i1 dueInMs=9 |
      | 500  | front-1 | callRouted     | id=c1             |
      | 2500 | front-1 | programStarted |                   |
    Then the seconds are
      | itemsInFlight | callsInFlight |
      | 0.5           | 0             |
      | 0             | 0             |
      | 0             | 0             |

  Scenario: An outage and a job without a runner last until their end
    Given the lines of a log
      | at   | node    | event           | fields                     |
      | 100  | front-1 | feedLost        | kind=BatchRecord           |
      | 200  | front-1 | feedLost        | kind=GatewayConfig         |
      | 300  | front-2 | jobSubmitted    | id=j1 outcome=accepted items=2 |
      | 1400 | front-1 | feedRegained    | kind=BatchRecord           |
      | 2400 | front-1 | feedRegained    | kind=GatewayConfig         |
      | 2500 | front-2 | jobClaimChanged | job=j1 claimed=true        |
      | 3100 | front-2 | callRouted      | id=c1                      |
    Then the seconds are
      | withoutObjectApi | jobsWithoutRunner |
      | 1                | 1                 |
      | 1                | 1                 |
      | 1                | 1                 |
      | 0                | 0                 |

  Scenario: A job that is run, or over, is not without a runner
    # Its caller sends it again, twice: while it is run and when all its results are listed. Then its runner starts anew.
    Given the lines of a log
      | at   | node    | event            | fields                                 |
      | 100  | front-2 | jobSubmitted     | id=j1 outcome=accepted items=2         |
      | 200  | front-1 | jobClaimChanged  | job=j1 claimed=true                    |
      | 1100 | front-2 | jobSubmitted     | id=j1 outcome=accepted items=2         |
      | 1200 | front-1 | resultsCommitted | job=j1 page=0 results=2 outcome=written |
      | 2300 | front-2 | jobSubmitted     | id=j1 outcome=accepted items=2         |
      | 2400 | front-1 | programStarted   |                                        |
    Then the seconds are
      | jobsWithoutRunner |
      | 1                 |
      | 0                 |
      | 0                 |

  Scenario: A job whose runner was killed has none until another takes it
    Given the lines of a log
      | at   | node    | event            | fields                                 |
      | 100  | front-2 | jobSubmitted     | id=j1 outcome=accepted items=2         |
      | 100  | front-1 | jobClaimChanged  | job=j1 claimed=true                    |
      | 1500 | front-1 | programStarted   |                                        |
      | 1900 | front-3 | jobClaimChanged  | job=j1 claimed=true                    |
      | 2100 | front-3 | callRouted       | id=c1                                  |
    Then the seconds are
      | jobsWithoutRunner |
      | 1                 |
      | 1                 |
      | 0                 |

  Scenario: Lines that tell nothing are left out
    Given the lines of a log
      | at  | node    | event     | fields     |
      | 100 | front-1 | peerJoined | peer=front-2 |
    Then there are no seconds
