Feature: A restart does not revert the configuration
  An entry with a snapshot restarts while its peers are disconnected, or after the object API was restored from a backup.
  Two peers that agree on an older configuration would revert later changes: a removed account would be served again.
  Nothing older than the snapshot is put in force; the entry waits for a source that is at least as new.

  Background:
    Given a snapshot at revision 100 with models "a@10 b@99"

  Scenario: Two peers agree on an older configuration
    Given the object API is down and two peers are at revision 90 with models "a@10 removed@80"
    When the entry starts
    Then it waits

  Scenario: Two peers agree on a newer configuration
    Given the object API is down and two peers are at revision 110 with models "a@10 c@105"
    When the entry starts
    Then it has models "a c" at revision 110

  Scenario: The object API was restored from a backup
    Given the object API is at revision 90 with models "a@10 removed@80" and there are no peers
    When the entry starts
    Then it waits
