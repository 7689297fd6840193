Feature: An entry's handling of the VM list

  The platform's VM list fails in a way that looks like a valid answer: it is empty. An entry that
  applied it would refuse every caller although all replicas answer. A single VM that is missing is
  different: it has been removed, and gets no new work.

  Background:
    Given an entry with the replicas "a, b" from the VM list and their reports

  Scenario: An empty list is ignored
    When a VM list without backend servers is read
    Then "a, b" may get new work

  Scenario: A VM that is missing from the list gets no new work
    When a VM list with only "a" is read
    Then "a" may get new work
