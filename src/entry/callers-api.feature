Feature: The callers' API
  Callers use the ordinary client library of the OpenAI API, which must see what it knows: streams, whole answers, and errors
  in their usual shape. Plain services pass through with method, status, headers and body.

  Background:
    Given a relayed fleet with 1 replicas

  Scenario: The client library gets a stream and a whole answer
    When the client library asks for 30 tokens as a stream and at once
    Then both answers are what the prompt asks for

  Scenario Outline: A request that can not be served: <request>
    When a caller sends <request>
    Then the error has the status <status>, the code "<code>" and says "not-run"
    And the entry still answers

    Examples:
      | request                     | status | code              |
      | a body that is too large    | 413    | body_too_large    |
      | broken JSON                 | 400    | invalid_json      |
      | JSON that is no object      | 400    | invalid_json      |
      | a body of 50000 levels      | 400    | invalid_json      |
      | an unknown model            | 404    | model_not_found   |
      | an unknown API key          | 401    | invalid_api_key   |
      | no API key                  | 401    | invalid_api_key   |
      | a wrong method              | 405    | wrong_method      |
      | an unknown path             | 404    | unknown_path      |
      | an unknown service          | 404    | service_not_found |

  Scenario: The client library does not repeat what may have run
    When the client library, which repeats failed requests, meets a generation of unknown outcome
    Then it made 1 request

  Scenario: A plain service answers with more than the system carries
    When a service is called and told to answer with 5000000 bytes
    Then the error has the status 502, the code "backend_rejected" and says "run"
    And the entry still answers

  Scenario Outline: A plain service answers <method> with <status>
    When a service is called with <method> and told to answer <status>
    Then the response has the status <status>, a body of <bytes>, and the length <length>

    Examples:
      | method | status | bytes | length |
      | GET    | 200    | some  | some   |
      | HEAD   | 200    | none  | some   |
      | GET    | 204    | none  | none   |
      | GET    | 304    | none  | none   |
      | GET    | 404    | some  | some   |
      | PUT    | 200    | some  | some   |
