// Package evacuation decides which backend servers get statements while the operator has availability zones evacuated.
package evacuation
