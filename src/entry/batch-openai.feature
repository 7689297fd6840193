Feature: Batch jobs through the ordinary client library
  The official OpenAI client works unchanged against a fleet: what it uploads, submits, lists, cancels and
  reads is what it expects.

  Background:
    Given a fleet of 2 entries and 2 engines, and a client

  Scenario: A whole job
    When the client uploads 60 items and submits them twice
    Then both answers name one job
    And the job completes with 60 items, and its output file has each once

  Scenario: Listing and deleting
    When the client has submitted 5 jobs
    Then listing them 2 a page shows each once, the newest first
    And a file that the client deletes is not found any more, and its job completes

  Scenario: Cancelling
    The client cancels while items run. Within seconds the engines run no item of it; what was completed is readable.

    When the client submits 400 long items and cancels once some are completed
    Then the job is shown as cancelled, and its output file has the items it counts
    And no engine runs a batch item any more

  Scenario: An item that crashes the engine, beside online requests
    The client reads a reason for the one item. Online requests that were in the engine when it crashed are taken
    up by another replica or the restarted one: all are answered.

    When the client submits 20 items of which one crashes its engine, and sends online requests meanwhile
    Then the job completes with 19 items and 1 failed item
    And every online request was answered

  Scenario: The object API is down
    The client is told at once that its job is not accepted and when to come back. Its online requests are answered
    as before, and its job that ran before goes on and completes.

    When the client has submitted 200 items and the object API goes down
    Then another submission is refused with 503, as not run, with a time to come back
    And an online request is answered
    And the job completes with 200 items once the object API is back
