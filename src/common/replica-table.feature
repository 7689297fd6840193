Feature: What an entry believes of the VM list

  The platform's VM list fails in a way that looks like an answer: it is empty. An entry that
  believed it would refuse every caller although all replicas answer. One VM that is missing is
  another matter: it has left, and gets no new work.

  Background:
    Given an entry that knows the replicas "a, b" by the VM list and their reports

  Scenario: An empty list is not believed
    When a VM list without backend servers is read
    Then "a, b" may get new work

  Scenario: A VM that is missing from the list gets no new work
    When a VM list with only "a" is read
    Then "a" may get new work
