Feature: A request runs only for the workspace whose key came with it
  Scenario Outline: Something of another workspace is presented
    Given a fleet with an empty table
    When workspace 2 presents <item> of workspace 1
    Then it is refused with the kind "<kind>" and outcome "not_run"

    Examples:
      | item        | kind              |
      | a session   | bad_session       |
      | transaction | foreign_workspace |
      | no key      | bad_key           |
