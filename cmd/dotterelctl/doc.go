// Command dotterelctl is the operators' tool: it changes contracts, keys and groups, and explains refusals.
//
// Exit codes: 0 done; 1 wrong usage; 2 refused or invalid; 3 conflict with another change; 4 no administration API
// answered, or the outcome is unknown; 5 stored, but not yet in force on every live VM.
package main
