Feature: The page of log events
  An operator sees a number in the log and looks it up on this page. If the page lacked it, or two events shared it,
  an alert on the number would never fire, or fire for another event.

  Scenario: The page and the catalogues agree, both ways
    When the catalogues of log events are read
    Then each event is listed on the page with its number, level, name and text
    And each event on the page is defined in a catalogue
    And the page is as "npm run log-events" writes it

  Scenario: Numbers are unique and lie in an area
    When the catalogues of log events are read
    Then no two events share a number
    And each number lies in an area of the page
