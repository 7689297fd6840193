Feature: A later run of a request is judged by its own answer
  A caller has the beginning of an answer when its engine is lost, and another engine is asked to go on. Whatever that one
  answers, the caller's answer is whole only when that run came to its own end; the status and the text of the run before
  say nothing of it.

  Scenario: A later run answers something else than the rest
    # Guards against an answer that ends as whole, or with a status of success, since a later run that brought nothing ended in order.
    Given a relayed fleet whose 2 engines send "do BRAKE " and are lost, and answer otherwise when asked to go on
    Then this is what the callers are told, and the text they have:
      | the later run answers             | the stream ends with | with the text | without a stream |
      | the rest                          | [DONE]               | do BRAKE now  | 200              |
      | 400                               | backend_rejected     | do BRAKE      | 400              |
      | 422                               | backend_rejected     | do BRAKE      | 422              |
      | 500                               | backend_failed       | do BRAKE      | 502              |
      | 204                               | backend_failed       | do BRAKE      | 502              |
      | 304                               | backend_failed       | do BRAKE      | 502              |
      | 200 with an object                | backend_failed       | do BRAKE      | 502              |
      | 200 without a body                | backend_failed       | do BRAKE      | 502              |
      | 200 and an end marker alone       | backend_failed       | do BRAKE      | 502              |
      | 200, a role and an end marker     | backend_failed       | do BRAKE      | 502              |
      | 200, ended within its first event | backend_failed       | do BRAKE      | 502              |
      | 200, its length told, ended there | backend_failed       | do BRAKE      | 502              |
      | a head and nothing more           | deadline_exceeded    | do BRAKE      | 504              |
