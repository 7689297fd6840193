Feature: The object API stand-in
  A writer whose answer was lost resends, a second writer creates the same name, a watcher comes back late.
  The real object API lets the first create win, keeps a change whose answer was lost, and says so when a watch can no longer be continued.
  A stand-in that were kinder than that would hide doubled or lost work in everything tested against it.

  Background:
    Given an object API stand-in that logs 4 changes

  Scenario: The first conditional create wins
    When "results/7/0" is created over HTTP with "first"
    Then the HTTP answer is 201
    When "results/7/0" is created over HTTP with "second"
    Then the HTTP answer is 412
    And the HTTP answer shows "results/7/0" at version 1 with "first"

  Scenario: An update from an old version is refused
    When "lease" is created over HTTP with "a"
    And "lease" is updated over HTTP from version 1 with "b"
    Then the HTTP answer is 200
    When "lease" is updated over HTTP from version 1 with "c"
    Then the HTTP answer is 412
    And the HTTP answer shows "lease" at version 2 with "b"

  Scenario: A lost answer leaves its change in force
    Given the stand-in loses its next answer to a change
    When "job" is created over HTTP with "mine"
    Then no HTTP answer came
    When "job" is read over HTTP
    Then the HTTP answer shows "job" at version 1 with "mine"

  Scenario: A refused change is not in force
    Given the stand-in refuses the next request
    When "job" is created over HTTP with "mine"
    Then the HTTP answer is 503
    When "job" is read over HTTP
    Then the HTTP answer is 404

  Scenario: A value above the limit is refused
    When "big" is created over HTTP with 1048576 characters
    Then the HTTP answer is 413

  Scenario: A watch that is too far behind is told so
    Given 7 changes were made over HTTP
    When a watch over HTTP asks for changes since version 0
    Then the HTTP answer is 410
    When a watch over HTTP asks for changes since version 3
    Then the HTTP answer is 200
    And the watch over HTTP tells of versions "4, 5, 6, 7"

  Scenario: A waiting watch hears of a change of its kind alone
    When a watch over HTTP waits while another kind and then "lease" change
    Then the watch over HTTP tells of versions "2"

  Scenario: Every call counts, refused ones too
    Given the stand-in refuses the next request
    When "job" is created over HTTP with "mine"
    And "job" is created over HTTP with "mine"
    And "job" is read over HTTP
    Then the stand-in has counted 2 creates and 1 get
