Feature: Waves of online calls are foreseen from what processes have seen
  Each process counts the calls that it sends and announces the counts. A repeat that has been seen twice, and again
  and again for two seconds, is taken to go on.

  Scenario: A wave is foreseen after two repeats
    # Until then nothing is known, as after a restart of all processes; items are handled as if there were no waves.
    Given calls in square waves of 2800 ms with 3800 ms between them
    Then no wave is foreseen after 12 s
    And after 20 s each wave is foreseen to within 300 ms

  Scenario: Announcements are lost, or peers run an earlier version
    # The own calls show when waves come, if they are many enough; how many slots they take is seen from the loads.
    Given calls in square waves of 2800 ms with 3800 ms between them
    And a process that sends half of them, and hears no counts from others
    Then after 24 s each wave is foreseen to within 500 ms
    And the wave is foreseen to take at least 140 of 161 slots

  Scenario: Too few calls are known for a forecast
    # The process sends a tenth of the calls and hears no counts: two in a period. Items are then handled as if there
    # were no waves; a wave that is foreseen at the wrong time would be worse.
    Given calls in square waves of 2800 ms with 3800 ms between them
    And a process that sends a tenth of them, and hears no counts from others
    Then after 24 s no wave is foreseen at a time that is wrong by more than 500 ms

  Scenario: A peer counts for what it has announced
    # Nearly all calls come to the peer; the process itself would see no pattern.
    Given calls in square waves of 2800 ms with 3800 ms between them
    And a process that sends a hundredth of them, and hears the counts of a peer that sends the others
    Then after 24 s each wave is foreseen to within 500 ms

  Scenario: A peer is lost while its calls are still part of the past
    # Its callers come to this process from then on. What the peer has counted is still true.
    Given calls in square waves of 2800 ms with 3800 ms between them
    And a process that sends half of them, and hears the counts of a peer that ends after 24 s
    Then after 24 s each wave is foreseen to within 500 ms

  Scenario: A wave that doesn't come ends the forecast
    # The callers of the waves have gone. Items must not wait for the wave after it.
    Given calls in square waves of 2800 ms with 3800 ms between them, until 36 s
    Then after 41 s no wave is foreseen

  Scenario: Steady load has no waves
    Given steady calls
    Then no wave is foreseen after 20 s
    And no wave is foreseen after 40 s

  Scenario: Only services of batch routes with a due time are watched and announced
    Given calls in square waves of 2800 ms with 3800 ms between them
    And routes of other kinds only
    Then no wave is foreseen after 30 s
    And nothing was announced

  Scenario Outline: Bad counts change nothing
    # Another process at a peer's old address, or a faulty one, may send anything that the validator lets through.
    Given calls in square waves of 2800 ms with 3800 ms between them
    And a peer that announces <counts> counts of <rate> for service "<service>" in each second
    Then after 20 s each wave is foreseen to within 300 ms

    Examples:
      | counts | rate      | service |
      | 8      | 900000000 | engines |
      | 50000  | 3         | engines |
      | 8      | 5000      | unknown |

  Scenario Outline: A message with malformed counts is rejected
    Then forecasts "<forecasts>" are <verdict>

    Examples:
      | forecasts                                    | verdict  |
      | [{'service':'engines','perSecond':[1,2.5]}]  | accepted |
      | [{'service':'engines','perSecond':[]}]       | accepted |
      | [{'service':'engines','perSecond':['1']}]    | rejected |
      | [{'service':'engines','perSecond':[-1]}]     | rejected |
      | [{'service':'','perSecond':[1]}]             | rejected |
      | [{'service':'engines'}]                      | rejected |
      | {'service':'engines','perSecond':[1]}        | rejected |

  Scenario: Few bytes are announced
    # At most a few dozen numbers a service and message, however long the past that is kept.
    Given calls in square waves of 2800 ms with 3800 ms between them
    Then announcements to 17 peers take at most 130 bytes, and one is due each 800 ms
    And announcements to 300 peers take at most 200 bytes, and one is due each 4000 ms
