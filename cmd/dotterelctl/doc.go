// Command dotterelctl is the command-line client of the administration API. It changes contracts, keys and groups, shows
// the status of the VMs, explains refusals and starts the planned stop of a VM.
//
// Exit codes: 0 done; 1 wrong usage; 2 refused or invalid; 3 conflict with another change; 4 no administration API
// answered, or the outcome is unknown; 5 stored, but not yet in force on every live VM.
package main
